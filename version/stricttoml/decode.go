package stricttoml

import (
	"encoding"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/version/config"
)

// Decode decodes the TOML document data into the struct that into points to.
// Fields whose keys are missing keep their value. It returns a problem for each
// unknown key and each value of the wrong type. file is used in problems only.
func Decode(file string, data []byte, into any) (*Source, Problems) {
	tree := make(map[string]any)
	if err := toml.Unmarshal(data, &tree); err != nil {
		return NewSource(file), Problems{syntaxProblem(file, err)}
	}
	d := &decoder{source: scan(file, data)}
	d.table("", tree, reflect.ValueOf(into).Elem())
	return d.source, d.problems
}

func syntaxProblem(file string, err error) Problem {
	problem := Problem{File: file, Key: "(syntax)", Text: err.Error(), Remedy: "correct the TOML on this line"}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		problem.Line, _ = decodeErr.Position()
		if key := strings.Join(decodeErr.Key(), "."); key != "" {
			problem.Key = key
		}
	}
	return problem
}

type decoder struct {
	source   *Source
	problems Problems
}

func (d *decoder) add(key, remedy, format string, args ...any) {
	d.problems = append(d.problems, d.source.Problem(key, remedy, format, args...))
}

// table sets the fields of the struct v from tree.
func (d *decoder) table(prefix string, tree map[string]any, v reflect.Value) {
	names := fieldNames(v.Type())
	for _, key := range sortedKeys(tree) {
		path := join(prefix, key)
		i := slices.Index(names, key)
		if i < 0 {
			d.add(path, unknownRemedy(key, names), "unknown key")
			continue
		}
		d.value(path, tree[key], v.Field(i))
	}
}

// value sets v to the decoded TOML value raw.
func (d *decoder) value(key string, raw any, v reflect.Value) {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(key, raw, text)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		tree, ok := raw.(map[string]any)
		if !ok {
			d.add(key, fmt.Sprintf("write it as a table [%s]", key), "is not a table")
			return
		}
		d.table(key, tree, v)
	case reflect.Slice:
		d.slice(key, raw, v)
	default:
		d.scalar(key, raw, v)
	}
}

func (d *decoder) slice(key string, raw any, v reflect.Value) {
	list, ok := raw.([]any)
	if !ok {
		remedy := "write it as a list, [..., ...]"
		if v.Type().Elem().Kind() == reflect.Struct {
			remedy = fmt.Sprintf("write each one as a table [[%s]]", key)
		}
		d.add(key, remedy, "is not a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, element := range list {
		d.value(fmt.Sprintf("%s[%d]", key, i), element, v.Index(i))
	}
}

func (d *decoder) text(key string, raw any, into encoding.TextUnmarshaler) {
	written, ok := raw.(string)
	if !ok {
		d.add(key, textRemedy(into), "is not a string in quotes")
		return
	}
	if err := into.UnmarshalText([]byte(written)); err != nil {
		d.add(key, textRemedy(into), "%q cannot be read", written)
	}
}

// textRemedy returns the remedy for an invalid value of into's type.
func textRemedy(into encoding.TextUnmarshaler) string {
	switch into.(type) {
	case *netip.AddrPort:
		return `write an IP number and a port, for example "10.0.0.7:8080"; host names are not looked up`
	case *netip.Addr:
		return `write an IP number, for example "10.0.0.7"; host names are not looked up`
	case *config.Duration:
		return `write a number with its unit, for example "500ms", "1.5s" or "10m"`
	default:
		return "write it as the documentation gives it"
	}
}

func (d *decoder) scalar(key string, raw any, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if text, ok := raw.(string); ok {
			v.SetString(text)
			return
		}
		d.add(key, `write it in quotes, for example "name"`, "is not a string")
	case reflect.Bool:
		if on, ok := raw.(bool); ok {
			v.SetBool(on)
			return
		}
		d.add(key, "write true or false without quotes", "is not true or false")
	case reflect.Float64:
		d.float(key, raw, v)
	case reflect.Int, reflect.Int64:
		if number, ok := raw.(int64); ok {
			v.SetInt(number)
			return
		}
		d.add(key, "write a whole number without quotes", "is not a whole number")
	default:
		d.add(key, "remove it", "cannot be set from a file")
	}
}

func (d *decoder) float(key string, raw any, v reflect.Value) {
	switch number := raw.(type) {
	case int64:
		v.SetFloat(float64(number))
	case float64:
		if math.IsNaN(number) || math.IsInf(number, 0) {
			d.add(key, "write a finite number", "is not a finite number")
			return
		}
		v.SetFloat(number)
	default:
		d.add(key, "write a number without quotes", "is not a number")
	}
}

// fieldNames returns the TOML name of each field of the struct type t.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("toml"), ",")
	}
	return names
}

func sortedKeys(tree map[string]any) []string {
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// unknownRemedy returns the remedy for an unknown key. It suggests the most
// similar known key, if one is similar enough.
func unknownRemedy(key string, known []string) string {
	const tooFar = 3 // edits
	best, bestDistance := "", tooFar
	for _, name := range known {
		if distance := editDistance(key, name); distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "remove it; the known keys here are " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance of a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
