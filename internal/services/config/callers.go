package config

import (
	"strings"

	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/keys"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// keyIndex holds the keys of each workspace.
type keyIndex struct {
	workspaces map[string][]keys.Key
	// maxKeys is the number of keys of the workspace that has the most. Each
	// authentication computes that many hashes, so that its time tells nothing
	// about a workspace.
	maxKeys int
}

// dummyKey is hashed in place of the keys that a workspace does not have.
var dummyKey = keys.Key{
	Salt: strings.Repeat("00", 16),
	Hash: strings.Repeat("00", 32),
}

func indexKeys(s *spec.Spec) keyIndex {
	x := keyIndex{
		workspaces: map[string][]keys.Key{},
		maxKeys:    1,
	}
	for _, w := range s.Workspaces {
		x.workspaces[w.Name] = w.Keys
		x.maxKeys = max(x.maxKeys, len(w.Keys))
	}
	return x
}

// match returns the workspace's key that secret matches, or nil. The work does not
// depend on whether the workspace exists or which key matches, to give nothing away
// by its time.
func (x keyIndex) match(workspace, secret string) *keys.Key {
	list := x.workspaces[workspace]
	var found *keys.Key
	for i := range x.maxKeys {
		key := dummyKey
		if i < len(list) {
			key = list[i]
		}
		key.Withdrawn = false
		if key.Matches(secret) && i < len(list) {
			found = &list[i]
		}
	}
	return found
}

// Authenticate returns the id of the workspace's key that secret matches. The fault
// is of kind fault.KeyRefused, fault.KeyWithdrawn or fault.ConfigUnconfirmed.
func (m *Manager) Authenticate(workspace, secret string) (string, error) {
	s := m.current.Load()
	if s == nil {
		return "", unconfirmed("no configuration is in force on this host yet")
	}
	key := s.keys.match(workspace, secret)
	switch {
	case key == nil:
		return "", fault.New(
			fault.KeyRefused,
			"the key is not one of the workspace's",
			"check the user, which names the workspace, and the password, which is the key",
		)
	case key.Withdrawn:
		return "", fault.New(
			fault.KeyWithdrawn,
			"key "+key.ID+" was withdrawn",
			"ask the operators for a new key",
		)
	}
	return key.ID, nil
}

// KeyValid reports whether the workspace's key of an id may still be used.
func (m *Manager) KeyValid(workspace, keyID string) bool {
	s := m.current.Load()
	if s == nil {
		return false
	}
	for _, key := range s.keys.workspaces[workspace] {
		if key.ID == keyID {
			return !key.Withdrawn
		}
	}
	return false
}
