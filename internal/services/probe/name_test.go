package probe_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/probe"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/space"
)

// namedInstance accepts sessions of workspaces without a blank in their name.
type namedInstance struct {
	instance

	workspaces map[string]space.Workspace
}

// namedConn is a connection to it.
type namedConn struct {
	link.Link
}

func (in *namedInstance) Policy() *policy.Policy {
	return &policy.Policy{
		Workspaces: in.workspaces,
	}
}

func (in *namedInstance) Dial(ctx context.Context, address string) (link.Link, error) {
	l, err := in.instance.Dial(ctx, address)
	return &namedConn{
		Link: l,
	}, err
}

func (c *namedConn) StartSession(_, workspace, _ string) (reply.Reply, error) {
	if strings.Contains(workspace, " ") {
		return reply.Reply{}, fault.New(fault.BadRequest, "the name holds a blank", "use names without blanks")
	}
	return reply.Reply{}, nil
}

// Guards against instances that count as dead, since the name of one of the workspaces can't
// be told to them.
func TestWorkspaceNames(t *testing.T) {
	for _, names := range [][]string{
		{"one two"},
		{"one two", "three", "four five", "six seven"},
	} {
		t.Run(strings.Join(names, ","), func(t *testing.T) {
			is := is.New(t)
			in := &namedInstance{
				instance: instance{
					report: report.Report{
						Primary: true,
					},
				},
				workspaces: map[string]space.Workspace{},
			}
			for _, name := range names {
				in.workspaces[name] = space.Workspace{}
			}
			p := probe.New(in, in)
			for range 10 {
				r, outcome, err := p.FreshStatus(t.Context(), one)
				is.NoErr(err)
				is.Equal(outcome, reply.Done)
				is.True(r.Primary)
			}
		})
	}
}
