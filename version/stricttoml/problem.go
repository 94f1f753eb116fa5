package stricttoml

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // 0 if not known
	Key    string `json:"key"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// String returns the problem on one line, in the format of compiler errors.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return fmt.Sprintf("%s: %s: %s; %s", place, p.Key, p.Text, p.Remedy)
}

// Problems are all problems of a file. Use Err to get an error, or nil if empty.
type Problems []Problem

// Error implements error with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts p by line and returns it as an error, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int { return a.Line - b.Line })
	return p
}
