package operate

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// SettingsCmd is `stoatctl settings`.
type SettingsCmd struct {
	Generate SettingsGenerateCmd `cmd:"" help:"Write the settings of each entry host from a questionnaire."`
	Check    SettingsCheckCmd    `cmd:"" help:"Validate a settings file and report all problems."`
}

// SettingsCheckCmd is `stoatctl settings check`.
type SettingsCheckCmd struct {
	JSON
	File string `arg:"" help:"Settings file of a router, in TOML."`
}

// Run checks the file.
func (c *SettingsCheckCmd) Run(env *Env) error {
	_, err := settings.Load(c.File)
	return reportProblems(env, c.File, err, c.JSON.JSON)
}

// checkResult is the JSON of the check commands.
type checkResult struct {
	File     string              `json:"file"`
	Valid    bool                `json:"valid"`
	Problems stricttoml.Problems `json:"problems"`
	Notes    stricttoml.Problems `json:"notes,omitempty"` // advice; the file is valid regardless
}

// reportProblems prints the problems of file in err. It returns an error if there are any.
func reportProblems(env *Env, file string, err error, asJSON bool) error {
	var problems stricttoml.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if asJSON {
		return writeCheck(env, checkResult{File: file, Valid: len(problems) == 0, Problems: problems})
	}
	if len(problems) == 0 {
		env.printf("%s: %s\n", file, env.colour(green, "valid"))
		return nil
	}
	printProblems(env, problems)
	return errReported
}

func writeCheck(env *Env, result checkResult) error {
	if result.Problems == nil {
		result.Problems = stricttoml.Problems{}
	}
	if err := env.writeJSON(result); err != nil {
		return err
	}
	if !result.Valid {
		return errReported
	}
	return nil
}

func printProblems(env *Env, problems stricttoml.Problems) {
	for _, p := range problems {
		place := p.File
		if p.Line > 0 {
			place = fmt.Sprintf("%s:%d", p.File, p.Line)
		}
		env.printf("%s: %s: %s\n    %s\n", place, env.colour(bold, p.Key), env.colour(red, p.Text), p.Remedy)
	}
	env.printf("%d problems\n", len(problems))
}
