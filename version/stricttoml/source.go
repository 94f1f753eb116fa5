package stricttoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Source maps the keys of a file to their lines.
type Source struct {
	File  string
	lines map[string]int
}

// NewSource returns a Source without lines, for values that are not from a file.
func NewSource(file string) *Source {
	return &Source{File: file, lines: make(map[string]int)}
}

// Line returns the line of key, for example "endpoints[2].zone". If key is not in
// the file, it returns the line of the innermost enclosing table that is in the
// file, or 0 if there is none.
func (s *Source) Line(key string) int {
	for key != "" {
		if line, ok := s.lines[key]; ok {
			return line
		}
		key = parent(key)
	}
	return 0
}

// Has reports whether the file has key.
func (s *Source) Has(key string) bool {
	_, ok := s.lines[key]
	return ok
}

// Problem returns a Problem at key, with the file and the line of key.
func (s *Source) Problem(key, remedy, format string, args ...any) Problem {
	return Problem{
		File:   s.File,
		Line:   s.Line(key),
		Key:    key,
		Text:   fmt.Sprintf(format, args...),
		Remedy: remedy,
	}
}

// parent returns the key of the table or array that contains key.
func parent(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

// scan parses data and records the line of each key.
func scan(file string, data []byte) *Source {
	s := NewSource(file)
	var parser unstable.Parser
	parser.Reset(data)
	counts := make(map[string]int)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = s.recordKey(&parser, node, "", counts)
		case unstable.ArrayTable:
			plain := s.recordKey(&parser, node, "", counts)
			prefix = fmt.Sprintf("%s[%d]", plain, counts[plain])
			s.lines[prefix] = s.lines[plain]
			counts[plain]++
		case unstable.KeyValue:
			key := s.recordKey(&parser, node, prefix, counts)
			s.recordValue(&parser, node.Value(), key)
		default:
		}
	}
	return s
}

// recordKey records the line of node's key under prefix and returns the key.
func (s *Source) recordKey(parser *unstable.Parser, node *unstable.Node, prefix string, counts map[string]int) string {
	key := prefix
	for parts := node.Key(); parts.Next(); {
		part := parts.Node()
		key = join(withIndex(key, counts), string(part.Data))
		s.lines[key] = parser.Shape(part.Raw).Start.Line
	}
	return key
}

// recordValue records the lines of the keys inside value, the value of key.
func (s *Source) recordValue(parser *unstable.Parser, value *unstable.Node, key string) {
	switch value.Kind {
	case unstable.Array:
		i := 0
		for elements := value.Children(); elements.Next(); {
			element := elements.Node()
			if element.Kind != unstable.Comment {
				s.recordValue(parser, element, fmt.Sprintf("%s[%d]", key, i))
				i++
			}
		}
	case unstable.InlineTable:
		for pairs := value.Children(); pairs.Next(); {
			pair := pairs.Node()
			inner := s.recordKey(parser, pair, key, nil)
			s.recordValue(parser, pair.Value(), inner)
			if _, known := s.lines[key]; !known {
				s.lines[key] = s.lines[inner]
			}
		}
	default:
	}
}

// withIndex returns key with the index of its last element if key is an array of tables.
func withIndex(key string, counts map[string]int) string {
	if count := counts[key]; count > 0 {
		return fmt.Sprintf("%s[%d]", key, count-1)
	}
	return key
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
