// Package calls counts the operations that a platform's stand-in serves, by
// class of row.
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

// maxBody bounds the body that is read to learn a row's class, bytes.
const maxBodyBytes = 64 << 20

// Calls is an http.Handler before that of the platform.
type Calls struct {
	// Next answers the requests.
	Next http.Handler

	mu     sync.Mutex
	counts map[string]int
}

// key is what a request tells of its row.
type rowRef struct {
	Key  attributes
	Item attributes
}

type attributes struct {
	Class struct{ S string } `json:"class"`
}

// ServeHTTP counts a request and hands it on.
func (c *Calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	var k rowRef
	_ = json.Unmarshal(body, &k)
	class := k.Key.Class.S + k.Item.Class.S
	_, operation, _ := strings.Cut(target, ".")
	c.count("table " + operation + " " + class)
	c.Next.ServeHTTP(w, r)
}

func (c *Calls) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
}

// Counts returns how often each operation was served, by names such as
// "table GetItem term" and "object GET".
func (c *Calls) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
