package rollout

import "time"

// Status is the content of a status record, and what an operator sees.
type Status struct {
	Order
	Stage    Stage            // Stage.State() is the state that the platform reads
	Number   int              // number of the order at this service
	Began    time.Time        // wall-clock time of the order
	Reason   string           // why the stage is what it is
	Share    float64          // share of the requests that the version gets
	Past     map[string]Stage // versions of earlier orders that did not succeed
	Evidence Evidence
}

// Evidence summarizes the answers that all routers counted.
type Evidence struct {
	Ordered, Others Summary
	Requests        int // requests to the service since the order
	Canary          int // of these, sent to the ordered version
	Routers         int // routers whose counts are included
}

// Summary describes the answers of one version, or of all other versions.
type Summary struct {
	Answers, Failures     int
	FirstByteMS, MedianMS float64 // medians to the first byte and of the total time; 0: no answers
}

// Transition is a change of a rollout's stage that this router decided or learned of.
type Transition struct {
	Order    Order
	Number   int
	From, To Stage
	Reason   string
	Verdict  bool // this router found the version to be bad
	Urgent   bool // to be announced at once: every verdict and stage decided here
}
