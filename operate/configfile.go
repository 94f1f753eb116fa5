package operate

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/version/answers"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// loadedConfig is a configuration that was read from a file.
type loadedConfig struct {
	config  config.Config
	reasons []answers.Reason // of derived values, if the file is a questionnaire
}

// loadConfig reads a configuration, or derives one from a questionnaire. It
// returns stricttoml.Problems if the file is not valid.
func loadConfig(file string) (loadedConfig, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loadedConfig{}, errors.Wrap(err, "read configuration")
	}
	if isQuestionnaire(data) {
		return deriveConfig(file, data)
	}
	var loaded loadedConfig
	_, problems := stricttoml.Decode(file, data, &loaded.config)
	if len(problems) == 0 {
		problems = configProblems(file, loaded.config)
	}
	return loaded, problems.Err()
}

// isQuestionnaire reports whether data has keys that only a questionnaire has.
func isQuestionnaire(data []byte) bool {
	var top struct {
		Organisation *string `toml:"organisation"`
		Applications []any   `toml:"applications"`
	}
	// Decode errors are reported when the whole file is decoded.
	_ = toml.Unmarshal(data, &top)
	return top.Organisation != nil || len(top.Applications) > 0
}

func deriveConfig(file string, data []byte) (loadedConfig, error) {
	answered, err := answers.Parse(file, data)
	if err != nil {
		return loadedConfig{}, err
	}
	var loaded loadedConfig
	loaded.config, loaded.reasons = answers.Generate(answered)
	return loaded, configProblems(file, loaded.config).Err()
}

// keepShards keeps the number of ledger shards in force in a configuration derived from answers.
// The number cannot change: keys would move to other shards, which do not know their claims.
func keepShards(derived *config.Config, state config.State) []answers.Reason {
	inForce := state.Config.Limits.LedgerShards
	if state.Version == 0 || inForce == derived.Limits.LedgerShards {
		return nil
	}
	why := fmt.Sprintf("%d would be derived, but the number in force cannot change", derived.Limits.LedgerShards)
	derived.Limits.LedgerShards = inForce
	return []answers.Reason{{Key: "limits.ledger_shards", Value: itoa(inForce), Why: why}}
}

// configProblems returns the problems that config.Validate finds, as problems of file.
func configProblems(file string, c config.Config) stricttoml.Problems {
	var problems stricttoml.Problems
	for _, p := range config.Validate(c) {
		problems = append(problems, stricttoml.Problem{File: file, Key: p.Path, Text: p.Text, Remedy: p.Remedy})
	}
	return problems
}

// configTOML returns c as TOML.
func configTOML(c config.Config) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	err := encoder.Encode(c)
	return buffer.Bytes(), errors.Wrap(err, "encode configuration")
}
