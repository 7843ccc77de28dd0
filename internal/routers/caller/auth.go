package caller

import (
	"net"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// authenticate asks the caller for its key and checks it. Only the key's id is
// kept, not the key. A caller without a key belongs to no workspace.
func (s *Server) authenticate(h *handshake) error {
	if h.startup.Keyless() {
		h.startup.User = ""
		return nil
	}
	if !h.secure && !s.AllowPlaintext {
		return fault.New(fault.KeyRefused, "a key is taken on TLS connections only", "set sslmode=require")
	}
	if err := send(h.conn, &pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return err
	}
	secret, err := readPassword(h.conn)
	if err != nil {
		return err
	}
	keyID, err := s.directory.Authenticate(h.startup.User, secret)
	if f := fault.As(err); f != nil && f.Kind != fault.KeyRefused && f.Kind != fault.KeyWithdrawn {
		return f
	}
	if err != nil || secret == "" || keyID == "" {
		return fault.New(fault.KeyRefused, "the workspace or its key was not accepted", "connect with the workspace as user and a key in force as password")
	}
	h.keyID = keyID
	return nil
}

// findRoute returns the named route, or the default one if name is empty. It fails
// unless the workspace may use the route on the database.
func findRoute(cfg *spec.Spec, workspace, database, name string, keyless bool) (*route.Route, error) {
	if name == "" {
		name = cfg.DefaultRoute
	}
	r := cfg.Route(name)
	if keyless && (r == nil || !r.Open) {
		return nil, fault.New(fault.KeyRefused, "callers without a key reach open routes only", "connect with the workspace as user and a key as password, or name an open route")
	}
	if cfg.Database(database) == nil {
		return nil, newPGError("3D000", "database \""+database+"\" does not exist", "connect to a database of the configuration")
	}
	if r == nil {
		return nil, fault.New(fault.BadRequest, "route \""+name+"\" does not exist", "name a route of the configuration in wasabislip.route")
	}
	if len(r.Databases) > 0 && !slices.Contains(r.Databases, database) {
		return nil, fault.New(fault.BadRequest, "route \""+name+"\" does not reach database \""+database+"\"", "name another route or connect to another database")
	}
	if keyless {
		return r, nil
	}
	w := cfg.Workspace(workspace)
	if w == nil || !slices.Contains(w.Databases, database) {
		return nil, newPGError("42501", "the workspace may not use database \""+database+"\"", "ask the operators to list the database in the workspace")
	}
	return r, nil
}

// send writes messages to a caller that has no session yet.
func send(conn net.Conn, messages ...pgproto3.BackendMessage) error {
	var raw []byte
	for _, m := range messages {
		var err error
		raw, err = m.Encode(raw)
		if err != nil {
			return err
		}
	}
	_, err := conn.Write(raw)
	return err
}
