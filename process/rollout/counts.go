package rollout

import "time"

// Answer is one answer of an endpoint of a service, of any version.
type Answer struct {
	Service, Version, Route string
	Endpoint, Zone          string // id and zone of the endpoint
	// Failed is set for a status 5xx that the endpoint returned after it ran the request,
	// not for crashes, broken connections and rejections. They are not answers.
	Failed bool
	// Cold is set if the endpoint was in its cold start. Such answers count only as
	// failures, not in the histograms.
	Cold bool
	// FirstByte and Total are the times from sending the request to the first byte and to
	// the end of the answer. 0: not measured.
	FirstByte, Total time.Duration
}

// Counts are cumulative counts of one router's answers, by version, route and zone, and
// by endpoint of the ordered version.
type Counts struct {
	Requests int `json:"q,omitempty"` // requests to the service since the order
	Canary   int `json:"c,omitempty"` // of these, sent to the ordered version
	// Cells is keyed by version (0 for all others, 1 for the ordered one), zone, a slash
	// and the route.
	Cells map[string]*Cell `json:"k,omitempty"`
	// Endpoints is keyed by a hash of the id.
	Endpoints map[string]EndpointCounts `json:"e,omitempty"`
}

// Cell counts the answers of one version on one route in one zone.
type Cell struct {
	Answers   int       `json:"n,omitempty"`
	Failures  int       `json:"f,omitempty"`
	FirstByte Histogram `json:"b,omitzero"`
	Total     Histogram `json:"t,omitzero"`
	// Compared counts the first bytes that were compared with the limit of slow answers,
	// the slow ones among them, and the same of total times.
	Compared [4]int `json:"s,omitzero"`
}

// EndpointCounts holds what was counted of one endpoint: answers and first bytes, failures
// and slow ones.
type EndpointCounts [3]int

// Report is what a router tells the others about one rollout, in heartbeats.
type Report struct {
	Order
	Number     int              `json:"i"`           // of the order at this service
	Starting   bool             `json:"v,omitempty"` // the router started too recently to be sure of Number
	Stage      Stage            `json:"g,omitempty"`
	AgeMS      int64            `json:"a,omitempty"`  // time since the order
	StageMS    int64            `json:"sa,omitempty"` // time since the stage began
	Reason     string           `json:"r,omitempty"`
	Stored     bool             `json:"w,omitempty"` // the final state stands in the store
	Deleted    bool             `json:"d,omitempty"`
	OldRunning int              `json:"o,omitempty"` // requests running on endpoints of other versions
	Past       map[string]Stage `json:"p,omitempty"` // versions of earlier orders that did not succeed
	Counts     Counts           `json:"n,omitzero"`
}
