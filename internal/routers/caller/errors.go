package caller

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Severities in ErrorResponse.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// sqlstateError is an error with one of PostgreSQL's SQLSTATE codes.
type sqlstateError interface {
	error
	Code() string
	Message() string
	Hint() string
}

// pgError is the sqlstateError of this package.
type pgError struct {
	code    string
	message string
	hint    string
}

func newPGError(code, message, hint string) error {
	return &pgError{
		code:    code,
		message: message,
		hint:    hint,
	}
}

// Error returns the code, the message and the hint.
func (e *pgError) Error() string {
	return e.code + ": " + e.message + "; " + e.hint
}

// Code returns the SQLSTATE.
func (e *pgError) Code() string {
	return e.code
}

// Message returns the error's message.
func (e *pgError) Message() string {
	return e.message
}

// Hint returns what the caller can do about the error.
func (e *pgError) Hint() string {
	return e.hint
}

// errorResponse returns the message for the caller, or nil if err is neither a
// fault nor a sqlstateError: the connection was lost then, or nothing is to be
// answered.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
	}
	if f := fault.As(err); f != nil {
		m.Code = f.Code()
		m.Message = f.Reason
		m.Hint = faultHint(f)
		m.Detail = faultDetail(f)
		return m
	}
	var c sqlstateError
	if errors.As(err, &c) {
		m.Code = c.Code()
		m.Message = c.Message()
		m.Hint = c.Hint()
		return m
	}
	return nil
}

// faultHint returns the fault's remedy and, if it has one, its retry-after.
func faultHint(f *fault.Fault) string {
	if f.RetryAfter <= 0 {
		return f.Remedy
	}
	return fmt.Sprintf("%s; retry after %d ms", f.Remedy, milliseconds(f.RetryAfter))
}

// faultDetail returns the fault's kind, whether the statements may have run, and
// the retry-after, for programs to read.
func faultDetail(f *fault.Fault) string {
	ran := "not-run"
	if f.MayHaveRun() {
		ran = "unknown"
	}
	return fmt.Sprintf("kind=%s outcome=%s retry-after-ms=%d", f.Kind, ran, milliseconds(f.RetryAfter))
}

// milliseconds rounds up, so that a caller does not retry too early.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// closeWithError sends err and closes the connection. It sends nothing if
// errorResponse has no message for err.
func closeWithError(conn net.Conn, err error, timeout time.Duration) {
	defer conn.Close()
	m := errorResponse(severityFatal, err)
	if m == nil {
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	_ = send(conn, m)
}

// rejectConn refuses a connection because the host is draining or has its maximum
// of connections.
func (s *Server) rejectConn(conn net.Conn) {
	limit := s.Limits.WithDefaults()
	if s.isDraining() {
		closeWithError(conn, drainingError(), limit.WriteTimeout)
		return
	}
	closeWithError(conn, connectionLimitError("the host has too many connections"), limit.WriteTimeout)
}

func connectionLimitError(reason string) error {
	return newPGError("53300", reason, "close connections that are not used, or connect again later")
}

func drainingError() error {
	return fault.New(fault.Draining, "the host is leaving service", "connect again; another host will answer")
}
