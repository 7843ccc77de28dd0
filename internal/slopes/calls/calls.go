// Package calls counts the operations that an in-memory stand-in for the
// platform serves, by class of row.
package calls

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
)

// maxBodyBytes bounds the part of a request's body that is parsed for the row's
// class.
const maxBodyBytes = 64 << 20

// Counter is an http.Handler that counts requests and passes them to Next.
type Counter struct {
	// Next is the platform's handler.
	Next http.Handler

	mu     sync.Mutex
	counts map[string]int
}

// rowRef is the part of a DynamoDB request that names the row's class: a read or
// delete has Key, a put has Item.
type rowRef struct {
	Key  attributes
	Item attributes
}

// attributes are the row's attributes that are read here.
type attributes struct {
	Class struct{ S string } `json:"class"`
}

// ServeHTTP counts a request and passes it on.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := r.Header.Get("X-Amz-Target")
	if target == "" {
		c.count("object " + r.Method)
		c.Next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var ref rowRef
	_ = json.Unmarshal(body, &ref)
	class := ref.Key.Class.S + ref.Item.Class.S
	_, operation, _ := strings.Cut(target, ".")
	c.count("table " + operation + " " + class)
	c.Next.ServeHTTP(w, r)
}

func (c *Counter) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
}

// Counts returns how often each operation was served. The keys are names such
// as "table GetItem term" and "object GET".
func (c *Counter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
