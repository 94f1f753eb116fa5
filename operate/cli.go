package operate

// CLI is the tree of commands. A new command is added here as a field.
type CLI struct {
	Settings SettingsCmd `cmd:"" help:"Check the settings file of a router."`
	Codes    CodesCmd    `cmd:"" help:"List the numbered result codes."`
	Measure  MeasureCmd  `cmd:"" help:"Measure the decisions against baselines, under a virtual clock."`
}
