package operate

// Detailed help of commands, printed by kong below the usage.

// Help implements kong.HelpProvider.
func (*AnswersNewCmd) Help() string {
	return `Example:

  stoatctl answers new answers.toml`
}

// Help implements kong.HelpProvider.
func (*AnswersCheckCmd) Help() string {
	return `Examples:

  stoatctl answers check answers.toml
  stoatctl answers check answers.toml --json | jq '.problems[].key'`
}

// Help implements kong.HelpProvider.
func (*ConfigGenerateCmd) Help() string {
	return `Prints each derived value with its reason, and the configuration. With --router
it also prints the difference from the configuration in force.

Examples:

  stoatctl config generate answers.toml
  stoatctl config generate answers.toml --out config.toml
  stoatctl config generate answers.toml --router 10.0.0.7:8003`
}

// Help implements kong.HelpProvider.
func (*ConfigPushCmd) Help() string {
	return `Prints the difference from the configuration in force, then pushes the file.
Returns once the change is accepted or refused. It is refused if another change
was accepted first; check the difference and push again.

Examples:

  stoatctl config push answers.toml --reason "two more workers"
  stoatctl config push config.toml --base 41`
}

// Help implements kong.HelpProvider.
func (*ConfigHistoryCmd) Help() string {
	return `Example:

  stoatctl config history --limit 50`
}

// Help implements kong.HelpProvider.
func (*OutCmd) Help() string {
	return `Prints the remaining capacity and the affected kinds of request. If guarantees
would be violated it asks for confirmation; non-interactive use needs --yes.
Then it prints the number of requests in progress there until it is zero.

Examples:

  stoatctl zone out xela-b --reason "power works"
  stoatctl endpoint out adapt-3 --yes --json
  stoatctl host out entry-5 --drain 0s`
}

// Help implements kong.HelpProvider.
func (*InCmd) Help() string {
	return `Example:

  stoatctl zone in xela-b`
}

// Help implements kong.HelpProvider.
func (*StatusCmd) Help() string {
	return `Shows every router and endpoint. Stale values are marked *.

Examples:

  stoatctl status --router 10.0.0.7:8003
  stoatctl status --json | jq '.fleet.routers[] | {name, in_progress}'`
}

// Help implements kong.HelpProvider.
func (*ReportBurnCmd) Help() string {
	return `Burn is the share of requests not served once and in time, divided by the share
that the objective allows: 1 uses up the error budget exactly over its period.

Examples:

  stoatctl report burn
  stoatctl report burn --html burn.html`
}
