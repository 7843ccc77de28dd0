// Package cloud is a stand-in for the platform: a DynamoDB table service, an S3
// object store and the control of their faults, all under one address. It does
// not check the signatures of requests.
package cloud

import (
	"net/http"

	"wasabislip.example/wasabislip/internal/standin/blobs"
	"wasabislip.example/wasabislip/internal/standin/dynamo"
	"wasabislip.example/wasabislip/internal/standin/faults"
)

// Control paths.
const (
	FaultsPath = "/-/faults"
	CountsPath = "/-/counts"
)

// Server is an http.Handler for the whole platform.
type Server struct {
	control *faults.Control
	table   *dynamo.Table
	objects *blobs.Store
}

// New returns an empty platform without faults.
func New() *Server {
	control := faults.New()
	return &Server{
		control: control,
		table:   dynamo.New(control),
		objects: blobs.New(control),
	}
}

// ServeHTTP answers the control paths, DynamoDB operations and S3 requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == FaultsPath:
		s.control.ServeFaults(w, r)
	case r.URL.Path == CountsPath:
		s.control.ServeCounts(w, r)
	case r.Header.Get("X-Amz-Target") != "":
		s.table.ServeHTTP(w, r)
	default:
		s.objects.ServeHTTP(w, r)
	}
}
