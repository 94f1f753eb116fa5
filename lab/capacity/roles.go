package capacity

import "fmt"

// Quantity is the resource or the state that a Row describes.
type Quantity string

// The quantities of a Row.
const (
	State    Quantity = "state"
	Messages Quantity = "messages"
	CPU      Quantity = "processor"
	Memory   Quantity = "memory"
)

// Row is one figure of a role.
type Row struct {
	Quantity     Quantity
	What         string
	Arithmetic   string
	Value        float64 // in bytes per second, microseconds per second or bytes
	Measured     bool    // false: a measurement is missing
	Control      bool    // counts against the budget for control
	AppenderOnly bool    // only routers that append a shard have it
}

// Role is one of the duties of a router.
type Role struct {
	Name      string
	Mechanism string
	Rows      []Row
}

// calculator computes the roles from measurements.
type calculator struct {
	measured map[string]*Series
}

func newCalculator(measurements []Measurement) *calculator {
	s := &calculator{measured: make(map[string]*Series)}
	for i := range measurements {
		for j := range measurements[i].Series {
			series := &measurements[i].Series[j]
			s.measured[measurements[i].Name+"/"+series.Name] = series
		}
	}
	return s
}

// value returns the measured quantity at size with its arithmetic.
func (s *calculator) value(key string, size float64) (value float64, arithmetic string, ok bool) {
	series := s.measured[key]
	if series == nil {
		return 0, "`" + key + "` is not measured", false
	}
	line := series.Fit()
	value = line.At(size)
	if len(series.Points) == 1 {
		return value, fmt.Sprintf("`%s` = %s %s", key, formatNumber(value), series.Unit), true
	}
	arithmetic = fmt.Sprintf("`%s` = %s + %s × %s %s = %s %s", key, formatNumber(line.Intercept), formatNumber(line.Slope), formatNumber(size), series.Per, formatNumber(value), series.Unit)
	if size > line.Largest {
		arithmetic += fmt.Sprintf(" (measured up to %s)", formatNumber(line.Largest))
	}
	return value, arithmetic, true
}

// row returns a row whose value is factor times a measured quantity at size.
func (s *calculator) row(quantity Quantity, what, key string, size, factor float64, factorText string) Row {
	value, arithmetic, ok := s.value(key, size)
	if factorText != "" {
		arithmetic = factorText + " × " + arithmetic
	}
	return Row{Quantity: quantity, What: what, Arithmetic: arithmetic, Value: factor * value, Measured: ok, Control: true}
}

func state(what, arithmetic string) Row {
	return Row{Quantity: State, What: what, Arithmetic: arithmetic, Measured: true}
}

// Roles returns all roles at the size that the fleet is designed for.
func Roles(measurements []Measurement) []Role {
	s := newCalculator(measurements)
	return []Role{s.entry(), s.admissionOwner(), s.chatHome(), s.ledgerAppender(), s.membership(), s.configFollower(), s.reconciler(), s.counters()}
}

func (s *calculator) entry() Role {
	requests := requestsPerSec / routers
	streams := tokensPerSec * tokenIntervalMs / 1000 / routers
	tokens := tokensPerSec / routers
	memory := s.row(Memory, "open streams", "entry/stream_bytes", streams, 1, "")
	memory.Control = false
	perRequest := s.row(CPU, "requests", "entry/processor_per_request", 1, requests, fmt.Sprintf("%.3g requests/s", requests))
	perToken := s.row(CPU, "tokens passed on", "entry/processor_per_token", 1, tokens, fmt.Sprintf("%.4g tokens/s", tokens))
	perRequest.Control, perToken.Control = false, false
	return Role{
		Name:      "entry",
		Mechanism: "A request chooses an endpoint, asks its admission owner for a permit, and its answer is passed on token by token. Callers are told the entry host that owns their chat's endpoint first, so that most permits need no message.",
		Rows: []Row{
			state("requests a second", fmt.Sprintf("2,000 / 330 = %.3g", requests)),
			state("streams at once", fmt.Sprintf("870,000 tokens/s × 0.042 s / 330 = %.4g", streams)),
			s.row(Messages, "permits, if none is granted at home", "admission/message_bytes_per_permit", 1, requests, fmt.Sprintf("%.3g requests/s", requests)),
			perRequest, perToken, memory,
		},
	}
}

func (s *calculator) admissionOwner() Role {
	owned := endpoints / routers
	permits := requestsPerSec / routers
	return Role{
		Name:      "admission owner",
		Mechanism: "Rendezvous hashing of endpoints over the view; permits are counted exactly by the owner, rival owners share the cap.",
		Rows: []Row{
			state("endpoints owned", fmt.Sprintf("640 / 330 = %.3g", owned)),
			s.row(CPU, "permits", "admission/processor_per_permit", routers, permits, fmt.Sprintf("%.3g permits/s", permits)),
			s.row(CPU, "looking for what it owns", "admission/processor_per_watch", routers, pollsPerSecond, fmt.Sprintf("%.0f looks/s", pollsPerSecond)),
		},
	}
}

func (s *calculator) chatHome() Role {
	homes := chats / routers
	lookups := requestsPerSec / routers
	return Role{
		Name:      "home of chats",
		Mechanism: "Each chat has a home by rendezvous hashing; it is told a place only when the place differs from the default that every router can work out, and asked only when the caller brings no place token.",
		Rows: []Row{
			state("chats", fmt.Sprintf("2,400,000 / 330 = %.4g, if all differ from their default", homes)),
			s.row(Messages, "questions and updates, if every request needs both", "directory/place_message_bytes", 1, lookups, fmt.Sprintf("%.3g requests/s", lookups)),
			s.row(CPU, "questions and updates", "directory/processor_per_change", homes, lookups, fmt.Sprintf("%.3g requests/s", lookups)),
			s.row(Memory, "table", "directory/table_bytes", homes, 1, ""),
		},
	}
}

func (s *calculator) ledgerAppender() Role {
	perShard := requestsPerSec * nonIdempotentShare / ledgerShards
	keys := perShard * ledgerWindowSec
	perEntry := requestsPerSec * nonIdempotentShare / routers
	return Role{
		Name:      "ledger appender",
		Mechanism: "A claim goes into the log before dispatch, in group commits every 80 ms; one appender for each of 8 shards. A tenth of the requests is taken as non-idempotent, and the window as 10 minutes. A router holds at most one shard here; 322 hold none.",
		Rows: []Row{
			state("appends a second, whole fleet", "8 shards × 12.5 = 100, of the several hundred that the log takes"),
			state("keys in the window of one shard", fmt.Sprintf("2,000 × 0.1 / 8 × 600 s = %.0f", keys)),
			s.row(Messages, "claims of this entry to appenders", "ledger/claim_message_bytes", 1, perEntry, fmt.Sprintf("%.2g claims/s", perEntry)),
			s.row(Messages, "claims of all entries to this appender", "ledger/claim_message_bytes", 1, perShard, fmt.Sprintf("%.3g claims/s", perShard)).forAppenders(),
			s.row(Messages, "records to and from the log", "ledger/record_bytes_per_key", keys, 2*perShard, fmt.Sprintf("2 × %.3g keys/s", perShard)).forAppenders(),
			s.row(CPU, "folding the shard", "ledger/processor_per_key", keys, perShard, fmt.Sprintf("%.3g keys/s", perShard)).forAppenders(),
			s.row(Memory, "fold of the shard", "ledger/table_bytes", keys, 1, "").forAppenders(),
		},
	}
}

func (s *calculator) membership() Role {
	return Role{
		Name:      "membership",
		Mechanism: "One gossip message and its answer each 0.5 s with an age for each member, in one byte; that vector detects failures, acknowledges views and tells of a majority heard. Worked out as if both regions were one.",
		Rows: []Row{
			state("members", "330"),
			state("changes of the view", fmt.Sprintf("(12 failures + 390 restarts) / day: one each %.0f s", secondsPerDay/(failuresPerDay+restartsPerDay))),
			s.row(Messages, "gossip sent", "membership/sent_bytes_per_second", routers, 1, ""),
			s.row(CPU, "gossip", "membership/processor_per_second", routers, 1, ""),
			s.row(CPU, "questions for an owner, five for each request", "ownership/processor_per_question", routers, 5*requestsPerSec/routers, fmt.Sprintf("5 × %.3g requests/s", requestsPerSec/routers)),
			s.row(Memory, "table", "membership/table_bytes", routers, 1, ""),
		},
	}
}

func (s *calculator) configFollower() Role {
	changes := changesPerDay / secondsPerDay
	pushes, marks := changes*pushShare, changes*(1-pushShare)
	return Role{
		Name:      "configuration follower",
		Mechanism: "Every router folds the records of one stream of the log in their order; peers pass records on. One change in ten is taken to push a whole configuration, the others to take something out or bring it back.",
		Rows: []Row{
			state("changes a second", fmt.Sprintf("1,700 / 86,400 s = %.2g", changes)),
			s.row(Messages, "pushed configurations", "configuration/record_bytes", endpoints, pushes, fmt.Sprintf("%.2g/s", pushes)),
			s.row(Messages, "marks", "configuration/mark_bytes", 1, marks, fmt.Sprintf("%.2g/s", marks)),
			s.row(Messages, "if every change pushed a configuration", "configuration/record_bytes", endpoints, changes, fmt.Sprintf("%.2g/s", changes)).withoutControl(),
			s.row(CPU, "reading, checking and indexing a push", "configuration/processor_per_push", endpoints, pushes, fmt.Sprintf("%.2g/s", pushes)),
			s.row(Memory, "two snapshots during a change", "configuration/snapshot_bytes", endpoints, 2, "2"),
		},
	}
}

// withoutControl returns the row as one that does not count against the budget.
func (r Row) withoutControl() Row {
	r.Control = false
	return r
}

// forAppenders returns the row as one that only routers with a shard have.
func (r Row) forAppenders() Row {
	r.AppenderOnly = true
	return r
}

func (s *calculator) reconciler() Role {
	perModel := endpoints / models
	return Role{
		Name:      "order reconciler",
		Mechanism: "One holder for each model compares what the configuration wants with what endpoints report, once a second, in bounded idempotent steps.",
		Rows: []Row{
			state("models held", fmt.Sprintf("23 / 330 = %.2g; at most one here", models/routers)),
			s.row(CPU, "a round a second", "orders/processor_per_round", perModel, 1, "1/s"),
		},
	}
}

func (s *calculator) counters() Role {
	kinds := models * kindsPerModel
	return Role{
		Name:      "counters for the report on burn",
		Mechanism: "Counts for each kind and minute of six hours; two other routers keep them, and get them every 30 s.",
		Rows: []Row{
			state("kinds", fmt.Sprintf("23 models × 3 = %.0f", kinds)),
			s.row(Messages, "records to two keepers", "counters/record_bytes", kinds, replicaRecordsPerSecond, "2 / 30 s"),
			s.row(Messages, "answering one report on burn an hour", "counters/whole_record_bytes", kinds, 1.0/3600, "1 / 3,600 s"),
			s.row(Memory, "counters and histograms", "counters/table_bytes", kinds, 1, ""),
		},
	}
}
