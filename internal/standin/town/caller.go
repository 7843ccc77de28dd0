package town

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/standin/patron"
)

// callerIP is where callers come from.
const callerIP = "10.9.0.1"

// Call opens a session with a host; ok tells whether it was accepted, and code
// why not.
func (t *Town) Call(host int, database, key string) (c *patron.Patron, code string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := t.Net.Dialer(callerIP)(ctx, "tcp", IP(host)+callerPort)
	if err != nil {
		return nil, "", false
	}
	c, a := patron.Open(conn, database, key, 0)
	return c, a.Code, a.OK()
}
