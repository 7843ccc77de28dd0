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

// maxPackets is how many packets may come before the session: one TLS request,
// one GSS request and the start-up message.
const maxPackets = 3

// errCancel ends a connection that brought a cancel request.
var errCancel = errors.New("a cancel request was handled")

// greeting is a connection on its way to a session.
type greeting struct {
	conn   net.Conn
	secure bool
	hello  *params.Startup
	minor  uint32
	keyID  string
}

// serve runs a connection from its first byte to its last.
func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(s.base)
	defer cancel()
	defer context.AfterFunc(s.base, func() {
		conn.Close()
	})()
	limit := s.Limits.WithDefaults()
	g := &greeting{
		conn: conn,
	}
	_ = conn.SetDeadline(time.Now().Add(limit.StartUpTimeout))
	if err := s.greet(ctx, g); err != nil {
		if f := fault.As(err); f != nil {
			s.Meter.Refused(f.Kind)
		}
		farewell(g.conn, err, limit.WriteTimeout)
		return
	}
	defer g.conn.Close()
	if !s.perSpace.Add(g.hello.User, limit.WorkspaceConnections) {
		farewell(g.conn, full("the workspace has too many connections on this host"), limit.WriteTimeout)
		return
	}
	defer s.perSpace.Drop(g.hello.User)
	s.converse(ctx, cancel, g)
}

func (s *Server) greet(ctx context.Context, g *greeting) error {
	parameters, err := s.open(ctx, g)
	if err != nil {
		return err
	}
	g.hello, err = params.Parse(parameters)
	if err != nil {
		return err
	}
	if s.drained() {
		return draining()
	}
	if err := s.directory.CheckConfirmed(); err != nil {
		return err
	}
	if err := g.negotiate(); err != nil {
		return err
	}
	if err := s.authenticate(g); err != nil {
		return err
	}
	cfg, _ := s.directory.Current()
	_, err = reach(cfg, g.hello.User, g.hello.Database, g.hello.Route, g.keyID == "")
	return err
}

// open answers what may come before the start-up message, and returns that
// message's parameters.
func (s *Server) open(ctx context.Context, g *greeting) (map[string]string, error) {
	for range maxPackets {
		p, err := readPacket(g.conn)
		if err != nil {
			return nil, err
		}
		switch p.code {
		case sslCode:
			err = s.upgrade(ctx, g)
		case gssCode:
			_, err = g.conn.Write([]byte{'N'})
		case cancelCode:
			s.cancel(ctx, p.body)
			return nil, errCancel
		default:
			var parameters map[string]string
			parameters, g.minor, err = p.parameters()
			return parameters, err
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, fault.New(fault.BadRequest, "no start-up message came", "connect with a PostgreSQL client")
}

func (s *Server) upgrade(ctx context.Context, g *greeting) error {
	if s.TLS == nil || g.secure {
		_, err := g.conn.Write([]byte{'N'})
		return err
	}
	if _, err := g.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(g.conn, s.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	g.conn = conn
	g.secure = true
	return nil
}

// cancel passes a cancel request to the stewards of the databases that its
// key may belong to.
func (s *Server) cancel(ctx context.Context, body []byte) {
	var m pgproto3.CancelRequest
	if err := m.Decode(body); err != nil {
		return
	}
	t := cankey.Key{
		ProcessID: m.ProcessID,
		Secret:    m.SecretKey,
	}
	id := t.RequestID()
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
		if !t.Matches(d.Name) {
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

// negotiate tells the caller what of its protocol is not offered.
func (g *greeting) negotiate() error {
	if g.minor <= newestMinor && len(g.hello.UnrecognizedOptions) == 0 {
		return nil
	}
	return send(g.conn, &pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: min(g.minor, newestMinor),
		UnrecognizedOptions: g.hello.UnrecognizedOptions,
	})
}
