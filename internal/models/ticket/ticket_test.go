package ticket_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/ticket"
)

func TestKey(t *testing.T) {
	is := is.New(t)
	a, b := ticket.New("swap-1"), ticket.New("swap-1")
	is.True(a.Fits("swap-1"))
	is.True(!a.Fits("swap-2"))
	is.True(a.RequestID() != b.RequestID())
	is.Equal(len(a.Secret), 4)
	copied := ticket.Ticket{
		ProcessID: a.ProcessID,
		Secret:    a.Secret,
	}
	is.Equal(copied.RequestID(), a.RequestID())
	is.Equal(ticket.Ticket{}.RequestID(), "")
}
