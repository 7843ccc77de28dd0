package mimic

import (
	"encoding/json"
	"net/http"
)

// ServeHTTP takes the orders that change the primary, as the platform does.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		ID string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	g.orders = append(g.orders, o.ID+"/"+r.Header.Get("X-Wasabislip-Fencing-Token"))
	g.mu.Unlock()
	if !g.Promote(o.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

// Orders returns the orders so far, as instance/token.
func (g *Group) Orders() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.orders...)
}
