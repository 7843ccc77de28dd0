// Package roster reads the platform's list of hosts. The list lags behind, so it is
// used only to find first peers, never to decide which hosts are alive.
package roster

import (
	"context"
	"encoding/json"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// objectName is the name of the object that holds the list.
const objectName = "platform/hosts.json"

type objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
}

// entry is one host of the list.
type entry struct {
	Host    string `json:"host"`
	Address string `json:"address"`
}

// Roster is the platform's list of hosts.
type Roster struct {
	objects objects
}

// New returns the list that is kept in the object store o.
func New(o objects) *Roster {
	return &Roster{
		objects: o,
	}
}

// Addresses returns the peer addresses, ip:port, of the listed hosts. The error
// is fault.Platform when the list can't be read.
func (r *Roster) Addresses(ctx context.Context) ([]string, error) {
	body, err := r.objects.Get(ctx, objectName)
	if err != nil {
		return nil, err
	}
	var entries []entry
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, fault.New(fault.Platform, "the platform's list of hosts is not JSON", "have the platform's operators look at "+objectName).Wrap(err)
	}
	addresses := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Address != "" {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses, nil
}
