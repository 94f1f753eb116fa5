package operate

import (
	"fmt"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit statuses of stoatctl.
const (
	StatusDone   = 0
	StatusFailed = 1 // the command failed or was refused
	StatusUsage  = 2 // the command line was wrong
)

const description = `Operates a fleet of stoatmount routers.

Examples:

  stoatctl answers new answers.toml           write an empty questionnaire
  stoatctl settings generate answers.toml --out settings/
                                              write each router's settings
  stoatctl config generate answers.toml       derive the configuration, with reasons
  stoatctl config push answers.toml           put it in force
  stoatctl status                             show routers and endpoints
  stoatctl zone out xela-b --reason drill     take a zone out of service
  stoatctl zone in xela-b                     bring it back

Commands that contact the fleet need a router's address in --router or
STOATMOUNT_ROUTERS. Exit status: 0 done, 1 refused or failed, 2 wrong usage.`

// errReported is returned by a command that has already printed its errors.
var errReported = errors.New("reported")

// exitStatus is the panic value of the Exit hook, which kong calls after it has printed its help.
type exitStatus int

// Main runs the command line args and returns the exit status.
func Main(args []string, env *Env) (status int) {
	defer func() {
		if value := recover(); value != nil {
			exit, ok := value.(exitStatus)
			if !ok {
				panic(value)
			}
			status = int(exit)
		}
	}()
	parser, err := newParser(env)
	if err != nil {
		return fail(env, StatusFailed, err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		return usage(env, err)
	}
	if err := command.Run(env); err != nil {
		return fail(env, StatusFailed, err)
	}
	return StatusDone
}

func newParser(env *Env) (*kong.Kong, error) {
	return kong.New(&CLI{},
		kong.Name("stoatctl"),
		kong.Description(description),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { panic(exitStatus(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}),
		kong.ShortUsageOnError(),
	)
}

func usage(env *Env, err error) int {
	_, _ = fmt.Fprintf(env.Err, "stoatctl: %v\nTry \"stoatctl --help\".\n", err)
	return StatusUsage
}

func fail(env *Env, status int, err error) int {
	if !errors.Is(err, errReported) {
		_, _ = fmt.Fprintf(env.Err, "stoatctl: %v\n", err)
	}
	return status
}
