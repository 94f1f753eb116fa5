package fault

// Name identifies a fault.
type Name string

// The faults. Info describes the effect of each and which stand-ins have it.
const (
	Outage      Name = "outage"
	Hang        Name = "hang"
	Slow        Name = "slow"
	LostReply   Name = "lost-reply"
	Refuse      Name = "refuse"
	NoAnswer    Name = "no-answer"
	Silence     Name = "silence"
	Late        Name = "late"
	Truncate    Name = "truncate"
	Cut         Name = "cut"
	Crossed     Name = "crossed"
	CrashBefore Name = "crash-before"
	Crash       Name = "crash"
	TurnCold    Name = "turn-cold"
	EventGap    Name = "event-gap"
	LoadOutage  Name = "load-outage"
)

// Info describes a fault.
type Info struct {
	Name   Name
	Where  string // stand-ins that have it
	Effect string // shown in the documentation
	Delays bool   // whether it uses Fault.Delay
}

var infos = []Info{
	{Outage, "log, hosts, weights", "Refuses every call with status 503; nothing takes effect.", false},
	{Hang, "log, hosts, weights", "Never answers; nothing takes effect.", false},
	{Slow, "log, hosts, weights, engine, service", "Waits for the delay before the call is handled.", true},
	{LostReply, "log, service, engine", "Takes full effect, then cuts the connection without an answer.", false},
	{Refuse, "engine, service", "Refuses with status 503 and X-Not-Run: true.", false},
	{NoAnswer, "engine, service", "Executes the request and never answers; the connection stays open.", false},
	{Silence, "engine, service", "Stops in the middle of the answer; the connection stays open.", false},
	{Late, "engine, service", "Executes the request at once and answers after the delay.", true},
	{Truncate, "engine, service", "Ends the answer before it is whole.", false},
	{Cut, "engine, service", "Cuts the connection in the middle of the answer.", false},
	{Crossed, "engine, service", "Answers with the request number and text of another request.", false},
	{CrashBefore, "engine, service", "Crashes before the request is executed; restarts cold with a new boot number.", false},
	{Crash, "engine, service", "Crashes after a service has executed, or in the middle of an engine's answer; restarts cold with a new boot number.", false},
	{TurnCold, "engine", "Turns cold without notice: the boot number stays.", false},
	{EventGap, "engine", "Loses a cache event; its sequence number is skipped.", false},
	{LoadOutage, "engine, service", "Refuses load reports with status 503.", false},
}

// List describes every fault in a fixed order.
func List() []Info {
	return append([]Info(nil), infos...)
}

func known(name Name) bool {
	for i := range infos {
		if infos[i].Name == name {
			return true
		}
	}
	return false
}
