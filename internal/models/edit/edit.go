// Package edit marks data centres, hosts and instances as drained or in service
// in the operators' configuration file.
package edit

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Kinds of target.
const (
	DataCentre = "data-centre"
	Host       = "host"
	Instance   = "instance"
)

// Target is what an operator takes out of service or brings back.
type Target struct {
	// Kind is DataCentre, Host or Instance.
	Kind string
	// Name is its name; for an instance database/instance.
	Name string
}

// SetDrained returns body, a configuration file, with the target drained or back
// in service. Comments are kept. It returns body itself if nothing changes. An
// error is a fault of kind fault.BadRequest.
func (t Target) SetDrained(body []byte, drained bool) ([]byte, error) {
	file := parse.Parse("file", body)
	if file.Spec == nil {
		return nil, badRequest(strings.Join(file.Problems, "\n"), "correct the file")
	}
	changed, err := t.setDrained(file.Spec, drained)
	if err != nil || !changed {
		return body, err
	}
	comments := yaml.CommentMap{}
	if err := yaml.UnmarshalWithOptions(body, &spec.Spec{}, yaml.CommentToMap(comments)); err != nil {
		return nil, badRequest(err.Error(), "correct the file")
	}
	next, err := yaml.MarshalWithOptions(file.Spec, yaml.WithComment(comments))
	if err != nil {
		return nil, badRequest(err.Error(), "edit the file and apply it")
	}
	if problems := parse.Parse("file", next).Problems; len(problems) > 0 {
		return nil, badRequest(strings.Join(problems, "\n"), "keep enough places in service")
	}
	return next, nil
}

// setDrained changes s and reports whether anything changed.
func (t Target) setDrained(s *spec.Spec, drained bool) (bool, error) {
	switch t.Kind {
	case DataCentre:
		for i := range s.DataCentres {
			if s.DataCentres[i].Name == t.Name {
				return setFlag(&s.DataCentres[i].Drained, drained), nil
			}
		}
	case Instance:
		if in := t.findInstance(s); in != nil {
			return setFlag(&in.Drained, drained), nil
		}
	case Host:
		return t.setHostDrained(s, drained), nil
	default:
		return false, badRequest(fmt.Sprintf("kind %q is not known", t.Kind), "name data-centre, host or instance")
	}
	return false, badRequest(
		fmt.Sprintf("%s %q is not in the configuration", t.Kind, t.Name),
		"see show for the names; an instance is database/instance",
	)
}

// findInstance returns the instance that the target names, or nil.
func (t Target) findInstance(s *spec.Spec) *inst.Instance {
	database, name, _ := strings.Cut(t.Name, "/")
	db := s.Database(database)
	if db == nil {
		return nil
	}
	for i := range db.Instances {
		if db.Instances[i].Name == name {
			return &db.Instances[i]
		}
	}
	return nil
}

// setHostDrained adds the host to the drained ones or removes it, and reports
// whether that changed anything.
func (t Target) setHostDrained(s *spec.Spec, drained bool) bool {
	i := slices.Index(s.DrainedHosts, t.Name)
	switch {
	case drained && i < 0:
		s.DrainedHosts = append(s.DrainedHosts, t.Name)
	case !drained && i >= 0:
		s.DrainedHosts = slices.Delete(s.DrainedHosts, i, i+1)
	default:
		return false
	}
	return true
}

// setFlag sets flag and reports whether that changed it.
func setFlag(flag *bool, to bool) bool {
	changed := *flag != to
	*flag = to
	return changed
}

func badRequest(reason, remedy string) error {
	return fault.New(fault.BadRequest, reason, remedy)
}
