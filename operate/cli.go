package operate

// CLI is the command tree; each command is a field.
type CLI struct {
	Answers   AnswersCmd   `cmd:"" help:"Write and check the questionnaire that a configuration is derived from."`
	Config    ConfigCmd    `cmd:"" help:"Derive, check, push and show the configuration."`
	Zone      ZoneCmd      `cmd:"" help:"Take an availability zone out of service or bring it back."`
	Host      HostCmd      `cmd:"" help:"Take an entry host out of service or bring it back."`
	Endpoint  EndpointCmd  `cmd:"" help:"Take an endpoint out of service or bring it back."`
	Report    ReportCmd    `cmd:"" help:"Report on service-level burn."`
	Status    StatusCmd    `cmd:"" help:"Show the state of all routers and endpoints."`
	Explain   ExplainCmd   `cmd:"" help:"Explain the outcome of a request from collected logs."`
	Capacity  CapacityCmd  `cmd:"" help:"Compute the resources of each role at the design size."`
	Settings  SettingsCmd  `cmd:"" help:"Write and check the settings files of routers."`
	Codes     CodesCmd     `cmd:"" help:"List the numbered result codes."`
	Trial     TrialCmd     `cmd:"" help:"Run the fleet of a questionnaire on loopback."`
	Measure   MeasureCmd   `cmd:"" help:"Compare routing decisions with baselines under a virtual clock."`
	Demo      DemoCmd      `cmd:"" help:"Run a small fleet on loopback."`
	Histories HistoriesCmd `cmd:"" help:"Run random histories of the fleet and check its guarantees."`
}
