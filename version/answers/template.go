package answers

import _ "embed"

//go:embed template.toml
var template string

// Template returns an empty form with comments, in TOML.
func Template() string {
	return template
}
