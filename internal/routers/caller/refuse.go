package caller

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Severities of an error.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// coded is an error with a SQLSTATE of PostgreSQL's own.
type coded interface {
	error
	Code() string
	Message() string
	Hint() string
}

// refusal is the coded error of this package.
type refusal struct {
	code    string
	message string
	hint    string
}

func refuse(code, message, hint string) error {
	return &refusal{
		code:    code,
		message: message,
		hint:    hint,
	}
}

// Error returns the code, the message and the hint.
func (r *refusal) Error() string {
	return r.code + ": " + r.message + "; " + r.hint
}

// Code returns the SQLSTATE.
func (r *refusal) Code() string {
	return r.code
}

// Message returns what is wrong.
func (r *refusal) Message() string {
	return r.message
}

// Hint returns the remedy.
func (r *refusal) Hint() string {
	return r.hint
}

// errorResponse returns what the caller gets for err, or nil when the error
// is the loss of the connection itself.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
	}
	if f := fault.As(err); f != nil {
		m.Code = f.Code()
		m.Message = f.Reason
		m.Hint = hint(f)
		m.Detail = detail(f)
		return m
	}
	var c coded
	if errors.As(err, &c) {
		m.Code = c.Code()
		m.Message = c.Message()
		m.Hint = c.Hint()
		return m
	}
	return nil
}

func hint(f *fault.Fault) string {
	if f.RetryAfter <= 0 {
		return f.Remedy
	}
	return fmt.Sprintf("%s; retry after %d ms", f.Remedy, milliseconds(f.RetryAfter))
}

func detail(f *fault.Fault) string {
	ran := "not-run"
	if f.MayHaveRun() {
		ran = "unknown"
	}
	return fmt.Sprintf("kind=%s outcome=%s retry-after-ms=%d", f.Kind, ran, milliseconds(f.RetryAfter))
}

// milliseconds rounds up, so that a caller does not come back too early.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// farewell sends err as the connection's last message and closes it.
func farewell(conn net.Conn, err error, timeout time.Duration) {
	defer conn.Close()
	m := errorResponse(severityFatal, err)
	if m == nil {
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	_ = send(conn, m)
}

// turnAway refuses a connection that the host has no room for.
func (s *Server) turnAway(conn net.Conn) {
	limit := s.Limits.WithDefaults()
	if s.drained() {
		farewell(conn, draining(), limit.WriteTimeout)
		return
	}
	farewell(conn, full("the host has too many connections"), limit.WriteTimeout)
}

func full(reason string) error {
	return refuse("53300", reason, "close connections that are not used, or connect again later")
}

func draining() error {
	return fault.New(fault.Draining, "the host is leaving service", "connect again; another host will answer")
}
