// Package crlf reads the messages of the platform's line protocol for its stand-ins. It
// is independent of the product's reader.
package crlf

import (
	"bufio"
	"strings"
)

// Read reads one message and returns it without the CR LF that ends it. A carriage
// return or a line feed alone belongs to the message.
func Read(r *bufio.Reader) (string, error) {
	var message strings.Builder
	for {
		part, err := r.ReadString('\n')
		message.WriteString(part)
		if err != nil {
			return "", err
		}
		if text, ok := strings.CutSuffix(message.String(), "\r\n"); ok {
			return text, nil
		}
	}
}
