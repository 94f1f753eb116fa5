package operate

// The detailed help of commands. kong prints it below the usage.

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
	return `Prints each derived value with its reason and the configuration. With a
router, also the difference to what is in force.

Examples:

  stoatctl config generate answers.toml
  stoatctl config generate answers.toml --out config.toml
  stoatctl config generate answers.toml --router 10.0.0.7:8003`
}

// Help implements kong.HelpProvider.
func (*ConfigPushCmd) Help() string {
	return `Shows the difference to what is in force, then puts the file in force. It
returns when the change was accepted or refused. If another change came first,
it is refused; look at the difference again and push once more.

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
	return `Says what capacity would be left and which kinds of request would suffer.
When promises would break it asks to go on; where nobody can answer it needs
--yes. Then it shows the work there drain to zero.

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
	return `Shows every router and endpoint. Figures that are not current are marked *.

Examples:

  stoatctl status --router 10.0.0.7:8003
  stoatctl status --json | jq '.fleet.routers[] | {name, in_progress}'`
}

// Help implements kong.HelpProvider.
func (*ReportBurnCmd) Help() string {
	return `Burn is the share of requests not served once and in time, over the share that
the objective allows: 1 uses the budget up just as it is due.

Examples:

  stoatctl report burn
  stoatctl report burn --html burn.html`
}
