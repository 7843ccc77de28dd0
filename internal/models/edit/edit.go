// Package edit takes places out of service, and back in, in the operators'
// file.
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

// Kinds of place.
const (
	DataCentre = "data-centre"
	Host       = "host"
	Instance   = "instance"
)

// Place is what an operator takes out of service or brings back.
type Place struct {
	// Kind is DataCentre, Host or Instance.
	Kind string
	// Name names it; an instance as database/instance.
	Name string
}

// Set returns body with the place drained or restored, comments kept. It
// returns body itself when nothing changes. The fault is of kind
// fault.BadRequest.
func (p Place) Set(body []byte, drained bool) ([]byte, error) {
	file := parse.Parse("file", body)
	if file.Spec == nil {
		return nil, badRequest(strings.Join(file.Problems, "\n"), "correct the file")
	}
	changed, err := p.setDrained(file.Spec, drained)
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

// set edits s and reports whether anything changed.
func (p Place) setDrained(s *spec.Spec, drained bool) (bool, error) {
	switch p.Kind {
	case DataCentre:
		for i := range s.DataCentres {
			if s.DataCentres[i].Name == p.Name {
				return setFlag(&s.DataCentres[i].Drained, drained), nil
			}
		}
	case Instance:
		if in := p.findInstance(s); in != nil {
			return setFlag(&in.Drained, drained), nil
		}
	case Host:
		return p.setHostDrained(s, drained), nil
	default:
		return false, badRequest(fmt.Sprintf("kind %q is not known", p.Kind), "name data-centre, host or instance")
	}
	return false, badRequest(
		fmt.Sprintf("%s %q is not in the configuration", p.Kind, p.Name),
		"see show for the names; an instance is database/instance",
	)
}

func (p Place) findInstance(s *spec.Spec) *inst.Instance {
	database, name, _ := strings.Cut(p.Name, "/")
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

func (p Place) setHostDrained(s *spec.Spec, drained bool) bool {
	i := slices.Index(s.DrainedHosts, p.Name)
	switch {
	case drained && i < 0:
		s.DrainedHosts = append(s.DrainedHosts, p.Name)
	case !drained && i >= 0:
		s.DrainedHosts = slices.Delete(s.DrainedHosts, i, i+1)
	default:
		return false
	}
	return true
}

func setFlag(flag *bool, to bool) bool {
	changed := *flag != to
	*flag = to
	return changed
}

func badRequest(reason, remedy string) error {
	return fault.New(fault.BadRequest, reason, remedy)
}
