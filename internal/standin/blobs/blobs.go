// Package blobs serves the part of the S3 REST protocol that the platform's
// object store needs, with path-style addresses.
package blobs

import (
	"encoding/xml"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/faults"
)

// HostListPath is the end of the path of the list of hosts: a JSON list of
// objects with the fields host, address, data-centre and state. Reads of it
// may lag behind writes, see faults.Control.HostsLag.
const HostListPath = "platform/hosts.json"

const (
	maxPageObjects = 1000
	maxObjectBytes = 64 << 20
)

// version is the body that an object has from a point in time on.
type version struct {
	at   time.Time
	body []byte
}

// Store holds objects by bucket/key: all versions of the list of hosts, and the
// last version of others. It is safe for concurrent use.
type Store struct {
	control *faults.Control

	mu      sync.Mutex
	objects map[string][]version
}

// New returns an empty store whose requests fail as control says.
func New(control *faults.Control) *Store {
	return &Store{
		control: control,
		objects: map[string][]version{},
	}
}

// ServeHTTP answers PutObject, GetObject and ListObjectsV2.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Trim(r.URL.Path, "/")
	switch {
	case r.Method == http.MethodPut:
		s.put(w, r, path)
	case r.Method == http.MethodGet && r.URL.Query().Get("list-type") == "2":
		s.list(w, r, path)
	case r.Method == http.MethodGet:
		s.get(w, r, path)
	default:
		writeError(w, http.StatusNotImplemented, "NotImplemented")
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, path string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody")
		return
	}
	if !s.control.Admit(w, r, faults.Object, "PutObject", true) {
		return
	}
	s.store(path, body)
	s.control.MaybeLoseAnswer(faults.Object)
	w.Header().Set("ETag", strconv.Quote(strconv.Itoa(len(body))))
}

func (s *Store) store(path string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := version{
		at:   time.Now(),
		body: body,
	}
	if strings.HasSuffix(path, HostListPath) {
		s.objects[path] = append(s.objects[path], v)
		return
	}
	s.objects[path] = []version{v}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, path string) {
	if !s.control.Admit(w, r, faults.Object, "GetObject", false) {
		return
	}
	body, ok := s.read(path)
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// read returns the object's body. For the list of hosts it is the version that
// was current one lag ago.
func (s *Store) read(path string) ([]byte, bool) {
	var lag time.Duration
	if strings.HasSuffix(path, HostListPath) {
		lag = s.control.HostsLag()
	}
	cutoff := time.Now().Add(-lag)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range slices.Backward(s.objects[path]) {
		if !v.at.After(cutoff) {
			return v.body, true
		}
	}
	return nil, false
}

// content is one object in a listing.
type content struct {
	Key  string
	Size int
}

// listing is the answer to ListObjectsV2.
type listing struct {
	XMLName               xml.Name `xml:"ListBucketResult"`
	Name                  string
	Prefix                string
	KeyCount              int
	MaxKeys               int
	IsTruncated           bool
	NextContinuationToken string `xml:",omitempty"`
	Contents              []content
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, bucket string) {
	if !s.control.Admit(w, r, faults.Object, "ListObjectsV2", false) {
		return
	}
	q := r.URL.Query()
	l := listing{
		Name:    bucket,
		Prefix:  q.Get("prefix"),
		MaxKeys: maxPageObjects,
	}
	if n, err := strconv.Atoi(q.Get("max-keys")); err == nil && n > 0 {
		l.MaxKeys = min(n, maxPageObjects)
	}
	all := s.contents(bucket+"/", l.Prefix, q.Get("continuation-token"))
	l.Contents = all[:min(l.MaxKeys, len(all))]
	l.KeyCount = len(l.Contents)
	if len(all) > l.KeyCount {
		l.IsTruncated = true
		l.NextContinuationToken = l.Contents[l.KeyCount-1].Key
	}
	writeXML(w, http.StatusOK, l)
}

// contents returns the objects in a bucket (given with its slash) whose keys
// start with prefix and sort after the key after.
func (s *Store) contents(bucket, prefix, after string) []content {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []content
	for path, versions := range s.objects {
		key, ok := strings.CutPrefix(path, bucket)
		if !ok || !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		all = append(all, content{
			Key:  key,
			Size: len(versions[len(versions)-1].body),
		})
	}
	slices.SortFunc(all, func(a, b content) int { return strings.Compare(a.Key, b.Key) })
	return all
}

type errorBody struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeXML(w, status, errorBody{
		Code:    code,
		Message: code,
	})
}

func writeXML(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(body)
}
