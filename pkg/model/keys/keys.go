// Package keys holds callers' keys as the configuration file stores them: an
// id, a salt and a hash, but never the key itself.
package keys

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Key is one key of a workspace.
type Key struct {
	// ID names the key in logs and files; it is not secret.
	ID string `yaml:"id"`
	// Salt is hex, 16 bytes or more.
	Salt string `yaml:"salt"`
	// Hash is hex: HMAC-SHA-256 of the key under the salt. A slow hash would
	// only delay connecting, since keys are long and random.
	Hash string `yaml:"hash"`
	// Withdrawn ends the use of the key, also for callers that are connected.
	Withdrawn bool `yaml:"withdrawn,omitempty"`
}

// Sum returns the hash of secret under the hex salt.
func Sum(salt, secret string) string {
	raw, err := hex.DecodeString(salt)
	if err != nil {
		return ""
	}
	m := hmac.New(sha256.New, raw)
	m.Write([]byte(secret))
	return hex.EncodeToString(m.Sum(nil))
}

// Matches reports whether secret is the key, in time that does not depend on
// secret. A withdrawn key matches nothing.
func (k Key) Matches(secret string) bool {
	if k.Withdrawn || secret == "" {
		return false
	}
	sum := Sum(k.Salt, secret)
	return sum != "" && subtle.ConstantTimeCompare([]byte(sum), []byte(k.Hash)) == 1
}
