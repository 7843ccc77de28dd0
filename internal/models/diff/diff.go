// Package diff tells what a file would change.
package diff

import (
	"fmt"
	"reflect"
	"strings"

	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Change is one difference between two configurations.
type Change struct {
	// Path names what changes: workspaces/shop-1/rate.
	Path string
	// Before is the former value; empty for what is added as a whole.
	Before string
	// After is the new value; empty for what is removed as a whole.
	After string
}

const wholeItem = "(whole)"

// String returns the change as one line: + added, - removed, ~ changed.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return "+ " + c.Path
	case c.After == "":
		return "- " + c.Path
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Between returns the changes from before to after, in the order of the file.
// Before may be nil.
func Between(before, after *spec.Spec) []Change {
	if before == nil {
		before = &spec.Spec{}
	}
	return compareFields("", reflect.ValueOf(*before), reflect.ValueOf(*after))
}

func compareFields(path string, before, after reflect.Value) []Change {
	var list []Change
	for i := range before.NumField() {
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("yaml"), ",")
		at := strings.TrimPrefix(path+"/"+name, "/")
		list = append(list, compareValues(at, before.Field(i), after.Field(i))...)
	}
	return list
}

func compareValues(path string, before, after reflect.Value) []Change {
	if before.Kind() == reflect.Slice && before.Type().Elem().Kind() == reflect.Struct {
		return compareItems(path, before, after)
	}
	was := fmt.Sprint(before.Interface())
	now := fmt.Sprint(after.Interface())
	if was == now {
		return nil
	}
	return []Change{{
		Path:   path,
		Before: quoteEmpty(was),
		After:  quoteEmpty(now),
	}}
}

func quoteEmpty(text string) string {
	if text == "" {
		return `""`
	}
	return text
}

// items compares lists of named things by their names.
func compareItems(path string, before, after reflect.Value) []Change {
	var list []Change
	for i := range before.Len() {
		was := before.Index(i)
		now, found := findByName(after, was.Field(0).String())
		at := path + "/" + was.Field(0).String()
		if !found {
			list = append(list, Change{
				Path:   at,
				Before: wholeItem,
			})
			continue
		}
		list = append(list, compareFields(at, was, now)...)
	}
	for i := range after.Len() {
		name := after.Index(i).Field(0).String()
		if _, found := findByName(before, name); !found {
			list = append(list, Change{
				Path:  path + "/" + name,
				After: wholeItem,
			})
		}
	}
	return list
}

// named returns the item whose first field, its name or id, is name.
func findByName(list reflect.Value, name string) (reflect.Value, bool) {
	for i := range list.Len() {
		if list.Index(i).Field(0).String() == name {
			return list.Index(i), true
		}
	}
	return reflect.Value{}, false
}
