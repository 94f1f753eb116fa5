package operate

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/term"
)

// Env is what a command sees of the world outside.
type Env struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // Out is a terminal: colours and live lines are welcome
	Ask      bool // In is a terminal: a person can answer questions
}

// Terminal returns the Env of the process.
func Terminal() *Env {
	return &Env{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: term.IsTerminal(int(os.Stdout.Fd())) && os.Getenv("NO_COLOR") == "",
		Ask:      term.IsTerminal(int(os.Stdin.Fd())),
	}
}

// JSON is embedded by commands that a script may read.
type JSON struct {
	JSON bool `help:"Write JSON for scripts."`
}

// printf writes to standard output. A reader that has gone away is no error of
// the command.
func (e *Env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Out, format, args...)
}

// writeJSON writes v as indented JSON.
func (e *Env) writeJSON(v any) error {
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "write JSON")
}

// Colours of the terminal.
const (
	red    = "31"
	green  = "32"
	yellow = "33"
	dim    = "2"
	bold   = "1"
)

// paint returns text in the colour if standard output is a terminal.
func (e *Env) paint(colour, text string) string {
	if !e.Terminal {
		return text
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}
