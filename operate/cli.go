package operate

// CLI is the tree of commands. A new command is added here as a field.
type CLI struct {
	Answers   AnswersCmd   `cmd:"" help:"Write and check the questionnaire that a configuration is derived from."`
	Config    ConfigCmd    `cmd:"" help:"Derive, check, push and show the configuration."`
	Zone      ZoneCmd      `cmd:"" help:"Take an availability zone out of service or bring it back."`
	Host      HostCmd      `cmd:"" help:"Take an entry host out of service or bring it back."`
	Endpoint  EndpointCmd  `cmd:"" help:"Take an endpoint out of service or bring it back."`
	Report    ReportCmd    `cmd:"" help:"Report on service-level burn."`
	Status    StatusCmd    `cmd:"" help:"Show the fleet at a glance."`
	Explain   ExplainCmd   `cmd:"" help:"Find in collected logs why a request ended as it did."`
	Capacity  CapacityCmd  `cmd:"" help:"Work out what each role needs at the size to design for."`
	Settings  SettingsCmd  `cmd:"" help:"Write and check the settings files of routers."`
	Codes     CodesCmd     `cmd:"" help:"List the numbered result codes."`
	Trial     TrialCmd     `cmd:"" help:"Run the fleet of a questionnaire on loopback."`
	Measure   MeasureCmd   `cmd:"" help:"Measure the decisions against baselines, under a virtual clock."`
	Demo      DemoCmd      `cmd:"" help:"Run a whole small fleet on loopback."`
	Histories HistoriesCmd `cmd:"" help:"Run random histories of the fleet and assert its promises."`
}
