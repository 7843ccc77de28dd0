package caller_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/stream"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/space"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const secret = "a-long-random-key"

// fakeBackend is the server's directory, admitter and relay. Its runs answer like a
// small database.
type fakeBackend struct {
	mu  sync.Mutex
	cfg spec.Spec
	// withdrawn says that the key k1 is withdrawn.
	withdrawn bool
	// wrongAnswers makes runs answer messages that do not fit the batch.
	wrongAnswers bool
	version      uint64
	// unconfirmed is what CheckConfirmed returns, admitErr what Admit returns.
	unconfirmed error
	admitErr    error
	admitted    int
	// refusal is the answer to each batch, if set.
	refusal *wasabislipv1.Refusal
	// opens, queries, cancelled and closed record the calls.
	opens     []*wasabislipv1.Open
	queries   []string
	cancelled []string
	closed    int
	// block keeps batches from being answered until it is closed.
	block   chan struct{}
	onQuery func(query string)
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{
		cfg: spec.Spec{
			Databases: []group.Database{
				{
					Name: "swap-1",
				},
				{
					Name: "swap-2",
				},
			},
			Workspaces: []space.Workspace{
				{
					Name:      "shop",
					Databases: []string{"swap-1"},
				},
			},
			Routes: []route.Route{
				{
					Name: "ledger",
					Kind: route.Write,
				},
				{
					Name: "browse",
					Kind: route.Read,
					Open: true,
				},
			},
			DefaultRoute: "ledger",
		},
	}
}

func (b *fakeBackend) Current() (*spec.Spec, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &b.cfg, 7 + b.version
}

func (b *fakeBackend) Authenticate(workspace, key string) (string, error) {
	if workspace != "shop" || key != secret || !b.KeyValid(workspace, "k1") {
		return "", fault.New(fault.KeyRefused, "no such key", "")
	}
	return "k1", nil
}

func (b *fakeBackend) KeyValid(string, string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.withdrawn
}

func (b *fakeBackend) CheckConfirmed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unconfirmed
}

func (b *fakeBackend) Admit(_ context.Context, _ string, n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.admitErr == nil {
		b.admitted += n
	}
	return b.admitErr
}

func (b *fakeBackend) Cancel(_ context.Context, r *wasabislipv1.CancelRequest) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelled = append(b.cancelled, r.GetDatabase()+" "+r.GetRequestId())
	return nil
}

func (b *fakeBackend) Open(ctx context.Context, open *wasabislipv1.Open) (stream.Stream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opens = append(b.opens, open)
	return &fakeRun{
		backend:    b,
		ctx:        ctx,
		status:     'I',
		statements: make(map[string]*wasabislipv1.Statement),
	}, nil
}

func (b *fakeBackend) set(change func(b *fakeBackend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

func (b *fakeBackend) lastOpen() *wasabislipv1.Open {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opens[len(b.opens)-1]
}

// fakeRun answers the batches of one run.
type fakeRun struct {
	backend    *fakeBackend
	ctx        context.Context
	status     byte
	statements map[string]*wasabislipv1.Statement
	query      string
	value      []byte
	out        []byte
	responses  []*wasabislipv1.RunResponse
}

func (r *fakeRun) Close() error {
	r.backend.set(func(b *fakeBackend) {
		b.closed++
	})
	return nil
}

func (r *fakeRun) Receive() (*wasabislipv1.RunResponse, error) {
	if len(r.responses) == 0 {
		return nil, fault.New(fault.OutcomeUnknown, "the stream broke", "")
	}
	response := r.responses[0]
	r.responses = r.responses[1:]
	return response, nil
}

func (r *fakeRun) Send(request *wasabislipv1.RunRequest) error {
	r.backend.mu.Lock()
	refusal, block := r.backend.refusal, r.backend.block
	r.backend.mu.Unlock()
	if block != nil {
		select {
		case <-block:
		case <-r.ctx.Done():
		}
	}
	if refusal != nil {
		r.responses = []*wasabislipv1.RunResponse{
			{
				Refusal: refusal,
			},
		}
		return nil
	}
	for _, s := range request.GetStatements() {
		r.statements[s.GetName()] = s
	}
	if err := r.batch(request.GetMessages()); err != nil {
		return err
	}
	if r.backend.wrongAnswers {
		r.out = nil
		r.put(&pgproto3.CommandComplete{})
	}
	half := len(r.out) / 2
	r.responses = []*wasabislipv1.RunResponse{
		{
			Messages: r.out[:half],
		},
		{
			Messages: r.out[half:],
			Ready:    true,
			Status:   string(r.status),
			Position: &wasabislipv1.Position{
				Term:   3,
				Offset: uint64(len(r.backend.queries)),
			},
		},
	}
	r.out = nil
	return nil
}

func (r *fakeRun) batch(raw []byte) error {
	backend := pgproto3.NewBackend(bytes.NewReader(raw), nil)
	for {
		msg, err := backend.Receive()
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !r.message(msg) {
			return nil
		}
	}
}

// message answers one message and reports whether the batch goes on.
func (r *fakeRun) message(msg pgproto3.FrontendMessage) bool {
	switch m := msg.(type) {
	case *pgproto3.Query:
		for query := range strings.SplitSeq(strings.TrimSuffix(m.String, ";"), ";") {
			r.value = literal(query)
			r.put(rowDescription())
			if !r.execute(query) {
				return false
			}
		}
		return false
	case *pgproto3.Bind:
		s := r.statements[m.PreparedStatement]
		if s == nil {
			return r.fail("26000")
		}
		r.query = s.GetQuery()
		r.value = literal(r.query)
		if len(m.Parameters) > 0 {
			r.value = bytes.Clone(m.Parameters[0])
		}
		r.put(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return r.describe(m)
	case *pgproto3.Execute:
		return r.execute(r.query)
	case *pgproto3.Close:
		r.put(&pgproto3.CloseComplete{})
	}
	return true
}

func (r *fakeRun) describe(m *pgproto3.Describe) bool {
	if m.ObjectType == 'S' {
		s := r.statements[m.Name]
		if s == nil {
			return r.fail("26000")
		}
		if strings.Contains(s.GetQuery(), "syntax-error") {
			return r.fail("42601")
		}
		oids := make([]uint32, strings.Count(s.GetQuery(), "$"))
		for i := range oids {
			oids[i] = 25
		}
		r.put(&pgproto3.ParameterDescription{
			ParameterOIDs: oids,
		})
	}
	r.put(rowDescription())
	return true
}

func (r *fakeRun) execute(query string) bool {
	r.backend.set(func(b *fakeBackend) {
		b.queries = append(b.queries, query)
	})
	if r.backend.onQuery != nil {
		r.backend.onQuery(query)
	}
	switch word := strings.ToLower(strings.Fields(query + " -")[0]); {
	case strings.Contains(query, "boom"):
		return r.fail("XX001")
	case word == "begin":
		r.status = 'T'
	case word == "commit", word == "rollback":
		r.status = 'I'
	case r.status == 'E':
		return r.fail("25P02")
	}
	r.put(&pgproto3.DataRow{
		Values: [][]byte{r.value},
	})
	r.put(&pgproto3.CommandComplete{
		CommandTag: []byte("SELECT 1"),
	})
	return true
}

func (r *fakeRun) fail(code string) bool {
	if r.status == 'T' {
		r.status = 'E'
	}
	r.put(&pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     code,
		Message:  "refused by the fake",
	})
	return false
}

func (r *fakeRun) put(m pgproto3.BackendMessage) {
	r.out, _ = m.Encode(r.out)
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{
		Fields: []pgproto3.FieldDescription{
			{
				Name:         []byte("value"),
				DataTypeOID:  25,
				DataTypeSize: -1,
				TypeModifier: -1,
			},
		},
	}
}

// literal returns the first quoted text of a query, or "ok".
func literal(query string) []byte {
	_, rest, found := strings.Cut(query, "'")
	if !found {
		return []byte("ok")
	}
	text, _, _ := strings.Cut(rest, "'")
	return []byte(text)
}

// shutdownTimeout bounds the shutdown of the server at the end of a test.
const shutdownTimeout = 20 * time.Second
