// Package parse reads and validates the operators' configuration file.
package parse

import (
	"crypto/sha256"
	"encoding/hex"

	"wasabislip.example/wasabislip/internal/modules/strict"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// MaxBytes is the largest allowed size of a file.
const MaxBytes = 16 << 20

// File is the result of reading a configuration file.
type File struct {
	// Spec is the configuration; nil if there are problems.
	Spec *spec.Spec
	// Problems lists all problems, each with its line and what to do about it.
	Problems []string
}

// Parse decodes and validates body. name is the name of the file in the problems.
func Parse(name string, body []byte) File {
	if len(body) > MaxBytes {
		return File{
			Problems: []string{name + ":1: the file is larger than 16 MiB; split the fleet"},
		}
	}
	s := &spec.Spec{}
	f := strict.Read(name, body, s)
	c := &checker{
		file: f,
		spec: s,
	}
	c.check()
	if problems := f.Problems(); len(problems) > 0 {
		return File{
			Problems: problems,
		}
	}
	return File{
		Spec: s,
	}
}

// Hash returns the name under which body is stored.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
