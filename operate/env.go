package operate

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/term"
)

// pollEvery is the interval between status polls while a target drains.
const pollEvery = 500 * time.Millisecond

// Env holds the input, output and clock of a command.
type Env struct {
	Context     context.Context
	Clock       clockwork.Clock
	In          io.Reader
	Out         io.Writer
	Err         io.Writer
	Terminal    bool          // Out is a terminal and NO_COLOR is unset: use colours and progress lines
	Interactive bool          // In is a terminal: prompts can be answered
	Poll        time.Duration // see pollEvery
}

// NewEnv returns the Env of the process. Its context ends on an interrupt.
func NewEnv() *Env {
	// The stop function is not needed: the process ends with its command.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return &Env{
		Context:     ctx,
		Clock:       clockwork.NewRealClock(),
		In:          os.Stdin,
		Out:         os.Stdout,
		Err:         os.Stderr,
		Terminal:    term.IsTerminal(int(os.Stdout.Fd())) && os.Getenv("NO_COLOR") == "",
		Interactive: term.IsTerminal(int(os.Stdin.Fd())),
		Poll:        pollEvery,
	}
}

// JSON is embedded by commands that can write JSON.
type JSON struct {
	JSON bool `help:"Write JSON for scripts."`
}

// printf writes to standard output. Write errors, for example of a closed pipe,
// do not fail the command.
func (e *Env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Out, format, args...)
}

// notef writes to standard error, so that standard output stays parsable.
func (e *Env) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format, args...)
}

// writeJSON writes v as indented JSON.
func (e *Env) writeJSON(v any) error {
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "write JSON")
}

// confirm prompts for yes or no.
func (e *Env) confirm(question string) bool {
	e.notef("%s [y/N] ", question)
	line, _ := bufio.NewReader(e.In).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

// sleep waits for d or until the command is interrupted.
func (e *Env) sleep(d time.Duration) error {
	select {
	case <-e.Clock.After(d):
		return nil
	case <-e.Context.Done():
		return errors.New("interrupted")
	}
}

// Terminal colour codes.
const (
	red    = "31"
	green  = "32"
	yellow = "33"
	dim    = "2"
	bold   = "1"
)

// colour returns text in the colour if standard output is a terminal.
func (e *Env) colour(colour, text string) string {
	if !e.Terminal {
		return text
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}
