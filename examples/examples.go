// Package examples holds the filled-in questionnaires of two deployments.
package examples

import (
	"embed"

	"github.com/pkg/errors"
)

//go:embed voces-unidas/answers.toml sismolab/answers.toml
var forms embed.FS

// Names of the deployments.
const (
	VocesUnidas = "voces-unidas"
	Sismolab    = "sismolab"
)

// Answers returns the questionnaire of a deployment in TOML.
func Answers(name string) ([]byte, error) {
	data, err := forms.ReadFile(name + "/answers.toml")
	return data, errors.Wrapf(err, "example %s", name)
}
