package permits

import (
	"encoding/json"
	"time"
)

// Ask requests a permit for one call. The same router repeats it unchanged if it
// got no reply.
type Ask struct {
	Number    int64         // unique among the asks of a router, also across its restarts
	Service   string        // name of the service
	Rank      int           // urgency rank; 0 is the most urgent
	Workspace uint32        // hash of the workspace's name
	Class     uint32        // hash of the class of work; 0 is unknown
	Request   uint32        // hash of the caller's request id, by which a returning caller is known; 0 is unknown
	Objective time.Duration // what is left of the objective
	Wait      time.Duration // how long the call may wait for a permit
	Return    time.Duration // after which a refused caller does not wait to return; 0 is unknown
	Exclude   []string      // endpoints that the call already tried
	Zone      string        // availability zone of the asking router; empty is unknown

	// Tokens is the number of prompt tokens that the call has to read at Prefer. It is
	// more than 0 only for long prompts, which are answered at once.
	Tokens int
	// Prefer is the endpoint that caches most of the prompt.
	Prefer string
}

// Reply answers an Ask. If none of Granted, Queued and Refused is set, the owner has
// no permit to give and the call proceeds as without permits.
type Reply struct {
	Number     int64
	Granted    bool
	Endpoint   string        // granted endpoint
	Started    int64         // start of the granted endpoint, as in Endpoint
	Queued     bool          // the call waits; another Reply follows
	Refused    bool          // there is no room within the wait of the call
	RetryAfter time.Duration // when there will be room: of a refusal, or if the wait ends without a grant
}

// Done returns a permit, or withdraws an Ask that waits.
type Done struct {
	Number   int64
	Service  string
	Endpoint string // granted endpoint; tells an owner that did not grant the permit where Load is from
	Started  int64
	Answered bool          // the endpoint answered; Took is known
	Load     Load          // reported with the answer; the zero value is none
	Took     time.Duration // from the sending of the call until the answer
}

// Load is what an endpoint reports with its answers.
type Load struct {
	Running int     `json:"r,omitempty"`
	Waiting int     `json:"w,omitempty"`
	Slots   int     `json:"s,omitempty"`
	Pace    float64 `json:"p,omitempty"` // 1 is as usual, 2.5 is 2.5 times as long; 0 is not reported
}

// Addressed is a Reply with the router that it is for.
type Addressed struct {
	To    string
	Reply Reply
}

// Endpoint is an endpoint that may get calls, as the owner's router knows it.
type Endpoint struct {
	ID      string
	Started int64 // tells apart an endpoint and its replacement with the same ID
	Zone    string
	Slots   int
	Cold    bool // gets a permit only if no other endpoint has room
	// Load is the newest load report that the owner's router received itself, and
	// LoadAt when. The zero time is none.
	Load   Load
	LoadAt time.Time
}

// The wire forms have short names and give durations in microseconds.

type wireAsk struct {
	Number    int64    `json:"n"`
	Service   string   `json:"s"`
	Rank      int      `json:"r,omitempty"`
	Workspace uint32   `json:"w,omitempty"`
	Class     uint32   `json:"c,omitempty"`
	Request   uint32   `json:"i,omitempty"`
	Objective int64    `json:"o,omitempty"`
	Wait      int64    `json:"m,omitempty"`
	Return    int64    `json:"b,omitempty"`
	Exclude   []string `json:"x,omitempty"`
	Zone      string   `json:"z,omitempty"`
	Tokens    int      `json:"t,omitempty"`
	Prefer    string   `json:"p,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (a Ask) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireAsk{a.Number, a.Service, a.Rank, a.Workspace, a.Class, a.Request, a.Objective.Microseconds(),
		a.Wait.Microseconds(), a.Return.Microseconds(), a.Exclude, a.Zone, a.Tokens, a.Prefer})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Ask) UnmarshalJSON(b []byte) error {
	var w wireAsk
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*a = Ask{Number: w.Number, Service: w.Service, Rank: w.Rank, Workspace: w.Workspace, Class: w.Class,
		Request: w.Request, Objective: micros(w.Objective), Wait: micros(w.Wait), Return: micros(w.Return), Exclude: w.Exclude, Zone: w.Zone, Tokens: w.Tokens,
		Prefer: w.Prefer}
	return nil
}

type wireReply struct {
	Number     int64  `json:"n"`
	Granted    bool   `json:"g,omitempty"`
	Endpoint   string `json:"e,omitempty"`
	Started    int64  `json:"b,omitempty"`
	Queued     bool   `json:"q,omitempty"`
	Refused    bool   `json:"f,omitempty"`
	RetryAfter int64  `json:"a,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r Reply) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireReply{r.Number, r.Granted, r.Endpoint, r.Started, r.Queued, r.Refused, r.RetryAfter.Microseconds()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Reply) UnmarshalJSON(b []byte) error {
	var w wireReply
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*r = Reply{w.Number, w.Granted, w.Endpoint, w.Started, w.Queued, w.Refused, micros(w.RetryAfter)}
	return nil
}

type wireDone struct {
	Number   int64  `json:"n"`
	Service  string `json:"s"`
	Endpoint string `json:"e,omitempty"`
	Started  int64  `json:"b,omitempty"`
	Answered bool   `json:"a,omitempty"`
	Load     *Load  `json:"l,omitempty"`
	Took     int64  `json:"t,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (d Done) MarshalJSON() ([]byte, error) {
	w := wireDone{Number: d.Number, Service: d.Service, Endpoint: d.Endpoint, Started: d.Started, Answered: d.Answered,
		Took: d.Took.Microseconds()}
	if d.Load != (Load{}) {
		w.Load = &d.Load
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Done) UnmarshalJSON(b []byte) error {
	var w wireDone
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*d = Done{Number: w.Number, Service: w.Service, Endpoint: w.Endpoint, Started: w.Started, Answered: w.Answered,
		Took: micros(w.Took)}
	if w.Load != nil {
		d.Load = *w.Load
	}
	return nil
}

// maxMicros bounds the durations of messages to an hour, so that sums do not overflow.
const maxMicros = int64(time.Hour / time.Microsecond)

func micros(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxMicros)) * time.Microsecond
}
