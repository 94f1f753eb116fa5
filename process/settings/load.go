package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// Load reads and validates the settings file at path. Unless the file cannot be
// read, the error is a stricttoml.Problems with all problems of the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse is like Load for data, the content of file. Files that the settings name,
// such as keys and certificates, are still read from disk.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	source, problems := stricttoml.Decode(file, data, &s)
	invalid := make(map[string]bool, len(problems))
	for _, problem := range problems {
		invalid[problem.Key] = true
	}
	for _, problem := range validate(s, source) {
		if !invalid[problem.Key] { // a value that was not decoded has its problem already
			problems = append(problems, problem)
		}
	}
	return s, problems.Err()
}

// Validate returns all problems of s.
func Validate(s Settings) stricttoml.Problems {
	return validate(s, stricttoml.NewSource("settings"))
}
