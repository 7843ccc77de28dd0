// Package schema generates a JSON Schema of the operators' configuration file, for
// use in editors.
package schema

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	dialect         = "https://json-schema.org/draft/2020-12/schema"
	namePattern     = "^[a-z0-9]+(-[a-z0-9]+)*$"
	durationPattern = "^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$"
)

// Schema is one node of a JSON Schema.
type Schema struct {
	Dialect              string             `json:"$schema,omitempty"`
	Title                string             `json:"title,omitempty"`
	Type                 string             `json:"type"`
	Pattern              string             `json:"pattern,omitempty"`
	Enum                 []string           `json:"enum,omitempty"`
	Items                *Schema            `json:"items,omitempty"`
	Properties           map[string]*Schema `json:"properties,omitempty"`
	Required             []string           `json:"required,omitempty"`
	AdditionalProperties *bool              `json:"additionalProperties,omitempty"`
}

// Generate returns the JSON Schema of the configuration file.
func Generate() ([]byte, error) {
	root := schemaOf(reflect.TypeFor[spec.Spec](), "")
	root.Dialect = dialect
	root.Title = "wasabislip configuration"
	return json.MarshalIndent(root, "", "  ")
}

// schemaOf returns the schema of a field of type t.
func schemaOf(t reflect.Type, field string) *Schema {
	if t == reflect.TypeFor[time.Duration]() {
		return &Schema{
			Type:    "string",
			Pattern: durationPattern,
		}
	}
	switch t.Kind() {
	case reflect.Struct:
		return objectSchema(t)
	case reflect.Slice:
		return &Schema{
			Type:  "array",
			Items: schemaOf(t.Elem(), ""),
		}
	case reflect.Bool:
		return &Schema{
			Type: "boolean",
		}
	case reflect.Int:
		return &Schema{
			Type: "integer",
		}
	case reflect.Float64:
		return &Schema{
			Type: "number",
		}
	default:
		return stringSchema(field)
	}
}

// stringSchema returns the schema of a text field. The name of the field decides
// the pattern or the allowed values.
func stringSchema(field string) *Schema {
	s := &Schema{
		Type: "string",
	}
	switch field {
	case "name", "region", "service", "id", "data-centre", "default-route":
		s.Pattern = namePattern
	case "kind":
		s.Enum = []string{route.Read, route.Write}
	case "freshness":
		s.Enum = []string{route.Session, route.Bounded, route.Primary}
	}
	return s
}

// objectSchema returns the schema of a struct. Fields without omitempty are
// required, and no others are allowed.
func objectSchema(t reflect.Type) *Schema {
	additional := false
	s := &Schema{
		Type:                 "object",
		Properties:           map[string]*Schema{},
		AdditionalProperties: &additional,
	}
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		s.Properties[name] = schemaOf(t.Field(i).Type, name)
		if options != "omitempty" {
			s.Required = append(s.Required, name)
		}
	}
	return s
}
