package operate

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/operate/explain"
)

// ExplainCmd is `stoatctl explain`.
type ExplainCmd struct {
	Request string   `arg:"" help:"Id of the request, as the caller sent it."`
	Logs    []string `arg:"" help:"Files with the collected logs of the routers." type:"existingfile"`
}

// Run prints why a request ended as it did.
func (c *ExplainCmd) Run(env *Env) error {
	var lines []explain.Line
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return errors.WithStack(err)
		}
		read, err := explain.Read(file)
		_ = file.Close() // it was only read
		if err != nil {
			return errors.Wrap(err, name)
		}
		lines = append(lines, read...)
	}
	explanation, err := explain.Explain(lines, c.Request)
	if err != nil {
		return err
	}
	env.printf("request %s\n", explanation.Request)
	for _, s := range explanation.Steps {
		env.printf("  %s  %s  %s\n", s.At.Format(time.RFC3339Nano), s.Host, s.Text)
	}
	env.printf("cause: %s\n", explanation.Cause)
	return nil
}
