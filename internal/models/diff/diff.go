// Package diff compares two configurations.
package diff

import (
	"fmt"
	"reflect"
	"strings"

	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Change is one difference between two configurations.
type Change struct {
	// Path is the path of the value that changes: workspaces/shop-1/rate.
	Path string
	// Before is the former value; empty for an added item.
	Before string
	// After is the new value; empty for a removed item.
	After string
}

// wholeItem stands for the value of an item that is added or removed.
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
// before may be nil.
func Between(before, after *spec.Spec) []Change {
	if before == nil {
		before = &spec.Spec{}
	}
	return compareFields("", reflect.ValueOf(*before), reflect.ValueOf(*after))
}

// compareFields compares two structs field by field. The fields' yaml names form
// the paths.
func compareFields(path string, before, after reflect.Value) []Change {
	var list []Change
	for i := range before.NumField() {
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("yaml"), ",")
		at := strings.TrimPrefix(path+"/"+name, "/")
		list = append(list, compareValues(at, before.Field(i), after.Field(i))...)
	}
	return list
}

// compareValues compares two values. Lists of structs are compared item by
// item, all other values by their text.
func compareValues(path string, before, after reflect.Value) []Change {
	if before.Kind() == reflect.Slice && before.Type().Elem().Kind() == reflect.Struct {
		return compareItems(path, before, after)
	}
	oldText := fmt.Sprint(before.Interface())
	newText := fmt.Sprint(after.Interface())
	if oldText == newText {
		return nil
	}
	return []Change{{
		Path:   path,
		Before: quoteEmpty(oldText),
		After:  quoteEmpty(newText),
	}}
}

// quoteEmpty makes an empty value visible.
func quoteEmpty(text string) string {
	if text == "" {
		return `""`
	}
	return text
}

// compareItems compares two lists of structs; items with the same name or id
// belong together.
func compareItems(path string, before, after reflect.Value) []Change {
	var list []Change
	for i := range before.Len() {
		oldItem := before.Index(i)
		newItem, found := findByName(after, oldItem.Field(0).String())
		at := path + "/" + oldItem.Field(0).String()
		if !found {
			list = append(list, Change{
				Path:   at,
				Before: wholeItem,
			})
			continue
		}
		list = append(list, compareFields(at, oldItem, newItem)...)
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

// findByName returns the item whose first field, its name or id, is name.
func findByName(list reflect.Value, name string) (reflect.Value, bool) {
	for i := range list.Len() {
		if list.Index(i).Field(0).String() == name {
			return list.Index(i), true
		}
	}
	return reflect.Value{}, false
}
