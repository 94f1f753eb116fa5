package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// Load reads and checks the settings file at path. An error that is not about
// reading the file is a form.Problems with everything that is wrong.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse is Load for data that was read from file. Files that the settings
// name, such as keys and certificates, are read from the disk.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	source, problems := stricttoml.Decode(file, data, &s)
	broken := make(map[string]bool, len(problems))
	for _, problem := range problems {
		broken[problem.Key] = true
	}
	for _, problem := range validate(s, source) {
		if !broken[problem.Key] {
			problems = append(problems, problem)
		}
	}
	return s, problems.Err()
}

// Validate returns everything that is wrong with s.
func Validate(s Settings) stricttoml.Problems {
	return validate(s, stricttoml.NewSource("settings"))
}
