package linedb

import (
	"encoding/json"
	"net/http"
)

// ServeHTTP accepts orders to change the primary, as the platform does. The
// fencing token is recorded, not checked.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	g.promotionOrders = append(g.promotionOrders, order.ID+"/"+r.Header.Get("X-Wasabislip-Fencing-Token"))
	g.mu.Unlock()
	if !g.Promote(order.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

// PromotionOrders returns the orders so far, as instance/token.
func (g *Group) PromotionOrders() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.promotionOrders...)
}
