package strict

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

var durationType = reflect.TypeFor[time.Duration]()

// sizeUnits holds the units of sizes. B comes last, because the others end in B,
// too.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{
		suffix: "KiB",
		bytes:  kibibyte,
	},
	{
		suffix: "MiB",
		bytes:  mebibyte,
	},
	{
		suffix: "GiB",
		bytes:  gibibyte,
	},
	{
		suffix: "B",
		bytes:  1,
	},
}

// decode decodes node into the struct that v points to.
func (f *File) decode(path string, node ast.Node, v any) {
	f.decodeValue(path, node, reflect.ValueOf(v).Elem(), "")
}

// decodeValue decodes node into v and adds problems at path. unit is the field's
// tag unit.
func (f *File) decodeValue(path string, node ast.Node, v reflect.Value, unit string) {
	if node == nil || node.Type() == ast.NullType {
		f.AddProblem(path, "the value is missing", "write one or leave the field out")
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		f.decodeStruct(path, node, v)
	case reflect.Slice:
		f.decodeSlice(path, node, v)
	default:
		f.decodeScalar(path, node, v, unit)
	}
}

// decodeStruct decodes a mapping into the struct v. Unknown and repeated fields are
// problems.
func (f *File) decodeStruct(path string, node ast.Node, v reflect.Value) {
	var pairs []*ast.MappingValueNode
	switch m := node.(type) {
	case *ast.MappingNode:
		pairs = m.Values
	case *ast.MappingValueNode:
		pairs = append(pairs, m)
	default:
		f.AddProblem(path, "want fields here", "write field: value, one a line")
		return
	}
	seen := map[string]bool{}
	for _, pair := range pairs {
		key := pair.Key.GetToken().Value
		line := pair.Key.GetToken().Position.Line
		field, unit, ok := fieldOf(v, key)
		if !ok {
			f.addAtLine(line, fmt.Sprintf("unknown field %q", join(path, key)), "fields here are "+fieldNames(v.Type()))
			continue
		}
		if seen[key] {
			f.addAtLine(line, fmt.Sprintf("field %q stands twice", join(path, key)), "keep one")
			continue
		}
		seen[key] = true
		f.Lines[join(path, key)] = line
		f.decodeValue(join(path, key), pair.Value, field, unit)
	}
}

// decodeSlice decodes a sequence into the slice v.
func (f *File) decodeSlice(path string, node ast.Node, v reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		f.AddProblem(path, "want a list", "write - before each item, or [] for none")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		f.Lines[at] = lineOf(item, f.Line(path))
		f.decodeValue(at, item, v.Index(i), "")
	}
}

// lineOf returns the line on which node begins, or fallback if it is not known.
func lineOf(node ast.Node, fallback int) int {
	switch m := node.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 {
			return m.Values[0].Key.GetToken().Position.Line
		}
	case *ast.MappingValueNode:
		return m.Key.GetToken().Position.Line
	}
	if node == nil || node.GetToken() == nil {
		return fallback
	}
	return node.GetToken().Position.Line
}

// decodeScalar decodes a single value into v.
func (f *File) decodeScalar(path string, node ast.Node, v reflect.Value, unit string) {
	text, ok := scalarText(node)
	if !ok {
		f.AddProblem(path, "want a single value", "write it out after the colon; anchors and tags are not supported")
		return
	}
	if err := setScalar(v, text, unit); err != nil {
		f.AddProblem(path, fmt.Sprintf("%q is not valid", text), err.Error())
	}
}

// scalarText returns the text of a single value, and false for any other node.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

// setScalar parses text into v. Its error is the remedy that the problem shows.
func setScalar(v reflect.Value, text, unit string) error {
	switch {
	case v.Type() == durationType:
		return setDuration(v, text)
	case unit == "bytes":
		return setSize(v, text)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return fmt.Errorf("write true or false")
		}
		v.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("write a whole number without a unit, as 20")
		}
		v.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n-n != 0 {
			return fmt.Errorf("write a number without a unit, as 100 or 0.5")
		}
		v.SetFloat(n)
	default:
		return fmt.Errorf("leave it out: fields of type %s can't be read", v.Type())
	}
	return nil
}

func setDuration(v reflect.Value, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || (d == 0 && text != "0s") {
		return fmt.Errorf("write a time with its unit, as 5s or 250ms")
	}
	v.SetInt(int64(d))
	return nil
}

func setSize(v reflect.Value, text string) error {
	for _, s := range sizeUnits {
		number, ok := strings.CutSuffix(text, s.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err == nil && n >= 0 && n <= (1<<62)/s.bytes {
			v.SetInt(n * s.bytes)
			return nil
		}
	}
	return fmt.Errorf("write a size with its unit, as 64KiB or 1MiB")
}

// fieldOf returns the field of the struct v whose yaml tag is key, and its unit tag.
func fieldOf(v reflect.Value, key string) (reflect.Value, string, bool) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if tagName(field) == key {
			return v.Field(i), field.Tag.Get("unit"), true
		}
	}
	return reflect.Value{}, "", false
}

// fieldNames returns the yaml tags of t, for the problem of an unknown field.
func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if name := tagName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

func tagName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
