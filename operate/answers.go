package operate

import (
	"os"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/version/answers"
)

// AnswersCmd is `stoatctl answers`.
type AnswersCmd struct {
	New   AnswersNewCmd   `cmd:"" help:"Write an empty questionnaire with comments."`
	Check AnswersCheckCmd `cmd:"" help:"Validate a questionnaire and report all problems."`
}

// AnswersNewCmd is `stoatctl answers new`.
type AnswersNewCmd struct {
	File  string `arg:"" optional:"" help:"File to write; default: standard output."`
	Force bool   `help:"Overwrite the file."`
}

// Run writes an empty questionnaire.
func (c *AnswersNewCmd) Run(env *Env) error {
	if c.File == "" {
		env.printf("%s", answers.Template())
		return nil
	}
	if err := writeFile(c.File, []byte(answers.Template()), c.Force); err != nil {
		return err
	}
	env.printf("%s: written; fill it in, then run: stoatctl answers check %s\n", c.File, c.File)
	return nil
}

// writeFile writes a file that must not exist yet, unless force is set.
func writeFile(file string, data []byte, force bool) error {
	flags := os.O_WRONLY | os.O_CREATE | os.O_TRUNC
	if !force {
		flags |= os.O_EXCL
	}
	f, err := os.OpenFile(file, flags, 0o644)
	if errors.Is(err, os.ErrExist) {
		return errors.Errorf("%s exists; use --force to overwrite it", file)
	}
	if err != nil {
		return errors.Wrap(err, "write")
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write")
}

// AnswersCheckCmd is `stoatctl answers check`.
type AnswersCheckCmd struct {
	JSON
	File string `arg:"" help:"Filled-in questionnaire, in TOML."`
}

// Run validates the questionnaire.
func (c *AnswersCheckCmd) Run(env *Env) error {
	answered, err := answers.Load(c.File)
	if err != nil {
		return reportProblems(env, c.File, err, c.JSON.JSON)
	}
	notes := answers.Advice(c.File, answered)
	if c.JSON.JSON {
		return writeCheck(env, checkResult{File: c.File, Valid: true, Notes: notes})
	}
	for _, note := range notes {
		env.printf("%s: %s\n    %s; better: %s\n", env.colour(yellow, "note"), note.Key, note.Text, note.Remedy)
	}
	return reportProblems(env, c.File, nil, false)
}
