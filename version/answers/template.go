package answers

import _ "embed"

//go:embed template.toml
var template string

// New returns an empty form with comments, in TOML.
func New() string {
	return template
}
