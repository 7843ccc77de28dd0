package linedb

import (
	"encoding/json"
	"net/http"
	"strconv"
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
	token := r.Header.Get("X-Wasabislip-Fencing-Token")
	g.promotionOrders = append(g.promotionOrders, order.ID+"/"+token)
	g.checkToken(token, r.Header.Get("X-Wasabislip-Lease-Holder"))
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

// checkToken counts an order whose token is lower than an earlier one, or was used by
// another holder. The caller holds mu.
func (g *Group) checkToken(text, holder string) {
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil || token < g.lastToken || token == g.lastToken && holder != g.lastHolder {
		g.badTokens++
		return
	}
	g.lastToken = token
	g.lastHolder = holder
}

// BadTokens returns how many orders came with a token lower than an earlier one, or
// with one that another holder had used.
func (g *Group) BadTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.badTokens
}

// Paused returns how many instances do not receive because of a PAUSE.
func (g *Group) Paused() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, inst := range g.instances {
		if inst.pausedTerm > 0 {
			n++
		}
	}
	return n
}
