package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/cankey"
	"wasabislip.example/wasabislip/internal/models/params"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// maxStartupPackets is how many packets a caller may send up to and with its
// start-up message: an SSLRequest, a GSSENCRequest and the StartupMessage.
const maxStartupPackets = 3

// errCancelHandled ends a connection that was opened for a CancelRequest. Nothing
// is answered to it.
var errCancelHandled = errors.New("a cancel request was handled")

// handshake is the state of a connection before its session begins.
type handshake struct {
	conn net.Conn
	// secure says that TLS was negotiated.
	secure  bool
	startup *params.Startup
	// minorVersion is the minor protocol version that the caller asked for.
	minorVersion uint32
	// keyID is the id of the caller's key; empty for a caller without a key.
	keyID string
}

// serveConn performs the handshake of a connection and runs its session.
func (s *Server) serveConn(conn net.Conn) {
	ctx, cancel := context.WithCancel(s.baseCtx)
	defer cancel()
	defer context.AfterFunc(s.baseCtx, func() {
		conn.Close()
	})()
	limit := s.Limits.WithDefaults()
	h := &handshake{
		conn: conn,
	}
	_ = conn.SetDeadline(time.Now().Add(limit.StartUpTimeout))
	if err := s.performHandshake(ctx, h); err != nil {
		if f := fault.As(err); f != nil {
			s.Meter.RecordRefusal(f.Kind)
		}
		closeWithError(h.conn, err, limit.WriteTimeout)
		return
	}
	defer h.conn.Close()
	if !s.workspaceConns.Add(h.startup.User, limit.WorkspaceConnections) {
		closeWithError(h.conn, connectionLimitError("the workspace has too many connections on this host"), limit.WriteTimeout)
		return
	}
	defer s.workspaceConns.Drop(h.startup.User)
	s.runSession(ctx, cancel, h)
}

// performHandshake reads the start-up message, authenticates the caller and checks that
// it may use its route and database.
func (s *Server) performHandshake(ctx context.Context, h *handshake) error {
	parameters, err := s.readStartup(ctx, h)
	if err != nil {
		return err
	}
	h.startup, err = params.Parse(parameters)
	if err != nil {
		return err
	}
	if s.isDraining() {
		return drainingError()
	}
	if err := s.directory.CheckConfirmed(); err != nil {
		return err
	}
	if err := h.negotiateVersion(); err != nil {
		return err
	}
	if err := s.authenticate(h); err != nil {
		return err
	}
	cfg, _ := s.directory.Current()
	_, err = findRoute(cfg, h.startup.User, h.startup.Database, h.startup.Route, h.keyID == "")
	return err
}

// readStartup answers requests for encryption and handles cancel requests, which
// may come before the start-up message. It returns that message's parameters.
func (s *Server) readStartup(ctx context.Context, h *handshake) (map[string]string, error) {
	for range maxStartupPackets {
		p, err := readPacket(h.conn)
		if err != nil {
			return nil, err
		}
		switch p.code {
		case sslCode:
			err = s.startTLS(ctx, h)
		case gssCode:
			_, err = h.conn.Write([]byte{'N'})
		case cancelCode:
			s.forwardCancel(ctx, p.body)
			return nil, errCancelHandled
		default:
			var parameters map[string]string
			parameters, h.minorVersion, err = p.parameters()
			return parameters, err
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, fault.New(fault.BadRequest, "no start-up message came", "connect with a PostgreSQL client")
}

// startTLS answers an SSLRequest: with N if TLS is not configured or is in use
// already, or with S and a TLS handshake.
func (s *Server) startTLS(ctx context.Context, h *handshake) error {
	if s.TLS == nil || h.secure {
		_, err := h.conn.Write([]byte{'N'})
		return err
	}
	if _, err := h.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(h.conn, s.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	h.conn = conn
	h.secure = true
	return nil
}

// forwardCancel forwards a CancelRequest to the coordinators of the databases
// that its cancel key may belong to.
func (s *Server) forwardCancel(ctx context.Context, body []byte) {
	var m pgproto3.CancelRequest
	if err := m.Decode(body); err != nil {
		return
	}
	key := cankey.Key{
		ProcessID: m.ProcessID,
		Secret:    m.SecretKey,
	}
	id := key.RequestID()
	if id == "" {
		return
	}
	ctx, stop := context.WithTimeout(ctx, s.Limits.WithDefaults().StartUpTimeout)
	defer stop()
	cfg, _ := s.directory.Current()
	if cfg == nil {
		return
	}
	for _, d := range cfg.Databases {
		if !key.Matches(d.Name) {
			continue
		}
		err := s.relay.Cancel(ctx, &wasabislipv1.CancelRequest{
			RequestId: id,
			Database:  d.Name,
		})
		if err != nil {
			klog.ErrorS(err, "a cancel request was not passed on", "database", d.Name, "host", s.Host)
		}
	}
}

// negotiateVersion tells the caller the newest minor version that is supported,
// and which of the protocol options that it asked for are not.
func (h *handshake) negotiateVersion() error {
	if h.minorVersion <= newestMinor && len(h.startup.UnrecognizedOptions) == 0 {
		return nil
	}
	return send(h.conn, &pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: min(h.minorVersion, newestMinor),
		UnrecognizedOptions: h.startup.UnrecognizedOptions,
	})
}
