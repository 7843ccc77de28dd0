// Package cankey creates the cancel keys of sessions.
//
// A key has 64 bits, which every version of the protocol can carry: 16 bits of
// the hash of the database's name and 48 random bits. The random bits are the
// request id of all runs of the session. So a host that did not issue the key
// finds the database and its coordinator without a shared store. If several
// databases have the same hash, all their coordinators are asked; one that does
// not know the id ignores it.
package cankey

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	keyBytes    = 8
	hashBytes   = 2
	secretBytes = 4
)

// Key is one cancel key.
type Key struct {
	// ProcessID is the first half of the key.
	ProcessID uint32
	// Secret is the second half, 4 bytes.
	Secret []byte
}

// New returns a random key for a session of database.
func New(database string) Key {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw)
	copy(raw, hash(database))
	return Key{
		ProcessID: binary.BigEndian.Uint32(raw),
		Secret:    raw[keyBytes-secretBytes:],
	}
}

// RequestID returns the request id of the session's runs, or "" if the key cannot
// be one that New created.
func (k Key) RequestID() string {
	if len(k.Secret) != secretBytes {
		return ""
	}
	raw := binary.BigEndian.AppendUint32(nil, k.ProcessID)
	raw = append(raw, k.Secret...)
	return "run-" + hex.EncodeToString(raw[hashBytes:])
}

// Matches reports whether the key may belong to a session of database.
func (k Key) Matches(database string) bool {
	raw := binary.BigEndian.AppendUint32(nil, k.ProcessID)
	return string(raw[:hashBytes]) == string(hash(database))
}

func hash(database string) []byte {
	sum := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(database))
	return sum[:hashBytes]
}
