package operate

import (
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/version/answers"
	"github.com/stoatmount/stoatmount/version/config"
)

// ConfigCmd is `stoatctl config`.
type ConfigCmd struct {
	Generate ConfigGenerateCmd `cmd:"" help:"Derive the configuration from a questionnaire, with reasons."`
	Check    ConfigCheckCmd    `cmd:"" help:"Validate a configuration or questionnaire and report all problems."`
	Push     ConfigPushCmd     `cmd:"" help:"Put a configuration or questionnaire in force."`
	Show     ConfigShowCmd     `cmd:"" help:"Show the configuration in force."`
	History  ConfigHistoryCmd  `cmd:"" help:"Show the history of changes with author, time and base version."`
}

// ConfigGenerateCmd is `stoatctl config generate`.
type ConfigGenerateCmd struct {
	JSON
	Connection
	File  string `arg:"" help:"Filled-in questionnaire, in TOML."`
	Out   string `help:"Write the configuration to this file, and the reasons to standard output." placeholder:"FILE"`
	Force bool   `help:"Overwrite the file."`
}

// generateResult is the JSON of `stoatctl config generate`.
type generateResult struct {
	Config  config.Config    `json:"config"`
	Reasons []answers.Reason `json:"reasons"`
	InForce *config.Version  `json:"in_force,omitempty"`
	Changes []answers.Change `json:"changes,omitempty"` // relative to the configuration in force
}

// Run derives the configuration.
func (c *ConfigGenerateCmd) Run(env *Env) error {
	loaded, err := loadConfig(c.File)
	if err != nil {
		return reportProblems(env, c.File, err, c.JSON.JSON)
	}
	result := generateResult{Config: loaded.config, Reasons: loaded.reasons}
	if err := c.compare(env, &result); err != nil {
		return err
	}
	text, err := configTOML(result.Config)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := writeFile(c.Out, text, c.Force); err != nil {
			return err
		}
	}
	switch {
	case c.JSON.JSON:
		return env.writeJSON(result)
	case c.Out == "":
		c.writeReasons(env, result.Reasons, "# ")
		env.printf("\n%s", text)
	default:
		c.writeReasons(env, result.Reasons, "")
		env.printf("%s: written\n", c.Out)
	}
	if result.InForce != nil {
		writeChanges(env, *result.InForce, result.Changes)
	}
	return nil
}

// compare keeps the ledger shards and adds the difference from the configuration in force, if a router was given.
func (c *ConfigGenerateCmd) compare(env *Env, result *generateResult) error {
	if !c.given() {
		return nil
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	state, err := cl.Config(env.Context)
	if err != nil {
		return err
	}
	result.InForce = &state.Version
	result.Reasons = append(result.Reasons, keepShards(&result.Config, state)...)
	result.Changes = answers.Summary(answers.Diff(state.Config, result.Config))
	return nil
}

// writeReasons prints the reasons. List elements with the same value and reason share a line.
func (c *ConfigGenerateCmd) writeReasons(env *Env, reasons []answers.Reason, linePrefix string) {
	counts := make(map[answers.Reason]int)
	for _, reason := range reasons {
		counts[withoutListElement(reason)]++
	}
	for _, reason := range reasons {
		key := withoutListElement(reason)
		count := counts[key]
		if count == 0 {
			continue
		}
		counts[key] = 0
		label := reason.Key
		if count > 1 {
			label += " and " + itoa(count-1) + " like it"
		}
		env.printf("%s%s = %s\n%s    %s\n", linePrefix, label, env.colour(bold, reason.Value), linePrefix, env.colour(dim, reason.Why))
	}
}

// withoutListElement returns reason with the list element removed from its key.
func withoutListElement(reason answers.Reason) answers.Reason {
	list, _, _ := strings.Cut(reason.Key, ".")
	field := reason.Key[strings.LastIndex(reason.Key, ".")+1:]
	reason.Key = list + "." + field
	return reason
}

// writeChanges prints the difference from version.
func writeChanges(env *Env, version config.Version, changes []answers.Change) {
	if version == 0 {
		env.notef("no configuration is in force yet\n")
		return
	}
	if len(changes) == 0 {
		env.notef("no difference from version %d, which is in force\n", version)
		return
	}
	env.notef("%d differences from version %d, which is in force:\n", len(changes), version)
	for _, change := range changes {
		switch {
		case change.Old == "":
			env.notef("  + %s %s\n", change.Key, change.New)
		case change.New == "":
			env.notef("  - %s %s\n", change.Key, change.Old)
		default:
			env.notef("  ~ %s: %s, now %s\n", change.Key, change.Old, change.New)
		}
	}
}

// ConfigCheckCmd is `stoatctl config check`.
type ConfigCheckCmd struct {
	JSON
	File string `arg:"" help:"Configuration or questionnaire, in TOML."`
}

// Run checks the file.
func (c *ConfigCheckCmd) Run(env *Env) error {
	_, err := loadConfig(c.File)
	return reportProblems(env, c.File, err, c.JSON.JSON)
}

// ConfigPushCmd is `stoatctl config push`.
type ConfigPushCmd struct {
	JSON
	Connection
	File   string  `arg:"" help:"Configuration or questionnaire, in TOML."`
	Reason string  `help:"Reason to record in the history." placeholder:"TEXT"`
	Base   *uint64 `help:"Version that the file is based on; the push is refused if another one is in force. Default: the one in force." placeholder:"VERSION"`

	Restore bool `help:"Replace the configuration in force and return all targets to service, even if records of the configuration expired unread."`
}

// pushResult is the JSON of `stoatctl config push`.
type pushResult struct {
	Base    config.Version   `json:"base"`
	Version config.Version   `json:"version"`
	Changes []answers.Change `json:"changes"`
	Ms      int64            `json:"ms"` // until it was accepted
}

// Run pushes the file.
func (c *ConfigPushCmd) Run(env *Env) error {
	loaded, err := loadConfig(c.File)
	if err != nil {
		return reportProblems(env, c.File, err, c.JSON.JSON)
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	state, err := cl.Config(env.Context)
	if err != nil {
		return err
	}
	if len(loaded.reasons) > 0 {
		for _, reason := range keepShards(&loaded.config, state) {
			env.notef("%s = %s: %s\n", reason.Key, reason.Value, reason.Why)
		}
	}
	result := pushResult{Base: state.Version, Changes: answers.Summary(answers.Diff(state.Config, loaded.config))}
	if c.Base != nil {
		result.Base = config.Version(*c.Base)
	}
	if !c.JSON.JSON {
		writeChanges(env, state.Version, result.Changes)
	}
	started := env.Clock.Now()
	result.Version, err = cl.Push(env.Context, api.Push{Base: result.Base, Config: loaded.config, Reason: c.Reason, Restore: c.Restore})
	if err != nil {
		return err
	}
	result.Ms = env.Clock.Since(started).Milliseconds()
	if c.JSON.JSON {
		return env.writeJSON(result)
	}
	env.printf("%s version %d after %d ms\n", env.colour(green, "accepted:"), result.Version, result.Ms)
	return nil
}

// ConfigShowCmd is `stoatctl config show`.
type ConfigShowCmd struct {
	JSON
	Connection
}

// Run shows the configuration in force.
func (c *ConfigShowCmd) Run(env *Env) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	state, err := cl.Config(env.Context)
	if err != nil {
		return err
	}
	if c.JSON.JSON {
		return env.writeJSON(state)
	}
	text, err := configTOML(state.Config)
	if err != nil {
		return err
	}
	env.printf("# version %d\n", state.Version)
	for _, mark := range state.OutOfService {
		env.printf("# out of service: %s %s since %s by %s\n", mark.Target.Scope, mark.Target.Name, mark.Since.UTC().Format(time.RFC3339), mark.Author)
	}
	env.printf("%s", text)
	return nil
}

// ConfigHistoryCmd is `stoatctl config history`.
type ConfigHistoryCmd struct {
	JSON
	Connection
	Limit int `help:"Maximum number of changes to show." default:"20"`
}

// Run shows the last changes.
func (c *ConfigHistoryCmd) Run(env *Env) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	history, err := cl.History(env.Context, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON.JSON {
		return env.writeJSON(history)
	}
	rows := &table{env: env}
	rows.add(cell{"VERSION", bold}, cell{"FROM", bold}, cell{"AT", bold}, cell{"BY", bold}, cell{"WHAT", bold}, cell{"RESULT", bold})
	for _, change := range history.Changes {
		result := cell{"accepted", green}
		if !change.Accepted {
			result = cell{"refused: " + change.Reason, red}
		}
		rows.add(change.Version, change.Base, change.At.UTC().Format(time.RFC3339), change.Author, change.Summary, result)
	}
	rows.write("")
	if !history.Complete {
		env.notef("older changes are not shown: they exceed --limit or have expired from the log\n")
	}
	return nil
}
