package answers

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/stoatmount/stoatmount/version/config"
)

// Change is one difference between two configurations.
type Change struct {
	Key string `json:"key"` // for example "endpoints.adapt-3.bears"
	Old string `json:"old"` // empty if it was added
	New string `json:"new"` // empty if it was removed
}

// configValue is one value of a configuration.
type configValue struct {
	key   string
	value string
}

// Diff returns the differences between old and updated: changed and removed
// values in the order of old, then added ones in the order of updated. Elements
// of lists are matched by name.
func Diff(old, updated config.Config) []Change {
	before, after := flatten(old), flatten(updated)
	newValues := index(after)
	oldValues := index(before)
	var changes []Change
	for _, e := range before {
		if value := newValues[e.key]; value != e.value {
			changes = append(changes, Change{Key: e.key, Old: e.value, New: value})
		}
	}
	for _, e := range after {
		if _, known := oldValues[e.key]; !known {
			changes = append(changes, Change{Key: e.key, New: e.value})
		}
	}
	return changes
}

func index(entries []configValue) map[string]string {
	values := make(map[string]string, len(entries))
	for _, e := range entries {
		values[e.key] = e.value
	}
	return values
}

func flatten(c config.Config) []configValue {
	var entries []configValue
	walk("", reflect.ValueOf(c), func(key, value string) {
		entries = append(entries, configValue{key, value})
	})
	return entries
}

// walk calls visit for each value in v.
func walk(key string, v reflect.Value, visit func(key, value string)) {
	if text, ok := v.Interface().(encoding.TextMarshaler); ok {
		// The types in a Config never return an error.
		written, _ := text.MarshalText()
		visit(key, string(written))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
			walk(strings.TrimPrefix(key+"."+name, "."), v.Field(i), visit)
		}
	case reflect.Slice:
		for i := range v.Len() {
			element := v.Index(i)
			walk(key+"."+element.FieldByName("Name").String(), element, visit)
		}
	default:
		visit(key, fmt.Sprint(v.Interface()))
	}
}

// Summary returns changes with one entry for each added or removed element of a
// list instead of one for each of its values.
func Summary(changes []Change) []Change {
	var summary []Change
	for _, change := range changes {
		element, field, _ := cutLast(change.Key)
		if field != "name" {
			if slices.ContainsFunc(summary, func(c Change) bool { return c.Key == element }) || elementChanged(changes, element) {
				continue
			}
			summary = append(summary, change)
			continue
		}
		summary = append(summary, Change{Key: element, Old: change.Old, New: change.New})
	}
	return summary
}

// elementChanged reports whether the element itself was added or removed.
func elementChanged(changes []Change, element string) bool {
	return slices.ContainsFunc(changes, func(c Change) bool { return c.Key == element+".name" })
}

func cutLast(key string) (before, after string, found bool) {
	i := strings.LastIndex(key, ".")
	if i < 0 {
		return "", key, false
	}
	return key[:i], key[i+1:], true
}
