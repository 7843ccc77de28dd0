package dbase

import (
	"crypto/rand"
	"crypto/subtle"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/standin/follow"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/pgsess"
)

const (
	secretBytes     = 4
	maxMessageBytes = 64 << 20
)

// reportedParams are the parameters that are reported to a client at its start.
var reportedParams = map[string]string{
	"server_version":              "17.0",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"TimeZone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
	"search_path":                 "public",
}

// client is a registered connection. counted tells that it counts to the
// limit, hasTerm that it sent ledger.term.
type client struct {
	conn    net.Conn
	session *pgsess.Session
	secret  []byte
	hasTerm bool
	counted bool
	term    uint64
}

// ServeConn serves one client connection and closes it.
func (i *Instance) ServeConn(conn net.Conn) {
	defer conn.Close()
	if !i.track(conn) {
		return
	}
	defer i.untrack(conn)
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(maxMessageBytes)
	params := i.startup(conn, backend)
	if params == nil {
		return
	}
	i.recordParams(params)
	i.sleep(i.cfg.ConnectDelay)
	if err := i.serve(conn, backend, params); err != nil {
		klog.V(3).InfoS("connection ended", "instance", i.cfg.Name, "err", err)
	}
}

func (i *Instance) track(conn net.Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.conns[conn] = struct{}{}
	return true
}

func (i *Instance) untrack(conn net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, conn)
}

// startup returns the start-up parameters, or nil when the connection failed or
// only carried a cancel request.
func (i *Instance) startup(conn net.Conn, backend *pgproto3.Backend) map[string]string {
	for {
		m, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := io.WriteString(conn, "N"); err != nil {
				return nil
			}
		case *pgproto3.CancelRequest:
			i.cancel(m)
			return nil
		case *pgproto3.StartupMessage:
			return lowerKeys(m.Parameters)
		}
	}
}

func lowerKeys(params map[string]string) map[string]string {
	lower := make(map[string]string, len(params))
	for k, v := range params {
		lower[strings.ToLower(k)] = v
	}
	return lower
}

func (i *Instance) recordParams(params map[string]string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k, v := range params {
		i.receivedParams[k+"="+v] = true
	}
}

// cancel cancels the statement that runs on the connection whose process ID and
// secret m names.
func (i *Instance) cancel(m *pgproto3.CancelRequest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := i.clients[m.ProcessID]
	if c != nil && subtle.ConstantTimeCompare(c.secret, m.SecretKey) == 1 {
		c.session.Cancel()
	}
}

func (i *Instance) serve(conn net.Conn, backend *pgproto3.Backend, params map[string]string) error {
	if err := i.authenticate(backend); err != nil {
		return sendFatal(backend, err)
	}
	c, err := i.register(conn, backend, params)
	if err != nil {
		return sendFatal(backend, err)
	}
	defer i.unregister(c)
	backend.Send(&pgproto3.AuthenticationOk{})
	for name, value := range reportedParams {
		backend.Send(&pgproto3.ParameterStatus{
			Name:  name,
			Value: value,
		})
	}
	backend.Send(&pgproto3.BackendKeyData{
		ProcessID: c.session.ProcessID,
		SecretKey: c.secret,
	})
	return c.session.Serve(i.ctx)
}

// authenticate asks for the password, if the instance has one.
func (i *Instance) authenticate(backend *pgproto3.Backend) error {
	if i.cfg.Password == "" {
		return nil
	}
	backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := backend.Flush(); err != nil {
		return err
	}
	if err := backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	m, err := backend.Receive()
	if err != nil {
		return err
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return pgerr.New(pgerr.ProtocolViolation, "expected a password message")
	}
	i.recordParams(map[string]string{
		"password": p.Password,
	})
	if p.Password != i.cfg.Password {
		return pgerr.New(pgerr.WrongPassword, "password authentication failed; give the instance's password")
	}
	return nil
}

// register assigns a process ID and a secret to the connection. It returns the
// error 53300 when the connection limit is reached.
func (i *Instance) register(conn net.Conn, backend *pgproto3.Backend, params map[string]string) (*client, error) {
	term, hasTerm := params["ledger.term"]
	c := &client{
		conn:    conn,
		secret:  make([]byte, secretBytes),
		hasTerm: hasTerm,
		counted: params["user"] != follow.User,
	}
	c.term, _ = strconv.ParseUint(term, 10, 64)
	if _, err := rand.Read(c.secret); err != nil {
		return nil, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.counted && !i.makeRoom(hasTerm) {
		return nil, pgerr.New(pgerr.TooManyConnections, "sorry, too many clients already; use fewer connections")
	}
	i.lastID++
	c.session = &pgsess.Session{
		Backend:    backend,
		Engine:     i.engine,
		Locks:      i.locks,
		Faults:     i.faults,
		Slots:      i.slots,
		Controller: i,
		Settings:   sessionSettings(params),
		ProcessID:  i.lastID,
	}
	i.clients[i.lastID] = c
	return c, nil
}

// makeRoom closes the connections of superseded terms and reports whether one
// more connection is within the limit. The caller holds mu.
func (i *Instance) makeRoom(hasTerm bool) bool {
	limit := i.cfg.Connections
	if !hasTerm {
		limit += reservedConnections
	}
	n := 0
	for id, c := range i.clients {
		if !c.counted {
			continue
		}
		if c.hasTerm && i.engine.CheckTerm(c.term) != nil {
			_ = c.conn.Close()
			delete(i.clients, id)
			continue
		}
		n++
	}
	return n < limit
}

func (i *Instance) unregister(c *client) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.clients, c.session.ProcessID)
}

// sessionSettings returns the session's settings: the start-up parameters, and
// defaults for those that are missing.
func sessionSettings(params map[string]string) map[string]string {
	all := lowerKeys(reportedParams)
	all["default_transaction_read_only"] = "off"
	all["application_name"] = ""
	all["statement_timeout"] = "0"
	maps.Copy(all, params)
	return all
}

// sendFatal sends err to the client as a FATAL error and returns err.
func sendFatal(backend *pgproto3.Backend, err error) error {
	e := pgerr.Of(err)
	backend.Send(&pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                e.Code,
		Message:             e.Message,
	})
	if flushErr := backend.Flush(); flushErr != nil {
		return flushErr
	}
	return err
}

// sleep waits for d or until the instance is closed.
func (i *Instance) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-i.ctx.Done():
	}
}
