package stricttoml

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing wrong in a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // 0 if not known
	Key    string `json:"key"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// String returns the problem on one line, as compilers write them.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return fmt.Sprintf("%s: %s: %s; %s", place, p.Key, p.Text, p.Remedy)
}

// Problems is the error of a file that has at least one Problem.
type Problems []Problem

// Error implements error with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error in the order of the file, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int { return a.Line - b.Line })
	return p
}
