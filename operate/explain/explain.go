package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Line is a log line of a router.
type Line struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Message string    `json:"msg"`

	Request              string          `json:"request"`
	Route                string          `json:"route"`
	Config               int64           `json:"config"`
	Code                 int             `json:"code"`
	Result               string          `json:"result"`
	Status               int             `json:"status"`
	TookMS               int64           `json:"took_ms"`
	FirstMS              int64           `json:"first_ms"`
	FirstByteObjectiveMS int64           `json:"objective_ms"`
	Endpoints            []string        `json:"endpoints"`
	Running              int             `json:"running"`
	Reported             int             `json:"reported"`
	EntryAgeMS           int64           `json:"entry_age_ms"`
	Cold                 bool            `json:"cold"`
	Events               int             `json:"events"`
	RetryAfterMS         int64           `json:"retry_after_ms"`
	Load                 float64         `json:"load"`  // of the least loaded endpoint, if all are busy
	Limit                float64         `json:"limit"` // largest load of an endpoint, this request included
	Rank                 int             `json:"rank"`
	Ejected              string          `json:"left_out"`
	DrainingMS           int64           `json:"draining_ms"`
	LeftMS               int64           `json:"left_ms"`  // of the process, when it took a late request or refused it
	BoundMS              int64           `json:"bound_ms"` // on the time of that request; 0 if none was known
	Failed               []FailedAttempt `json:"failed"`
	Connections          []string        `json:"connections"` // to the endpoints, in order; "" for one that was not reached
	ResponsesDiscarded   int             `json:"responses_discarded"`
	Error                string          `json:"error"`

	Endpoint string `json:"endpoint"`
	Zone     string `json:"zone"`
	Out      bool   `json:"out"`
	Topic    string `json:"topic"`
	Version  int64  `json:"version"`
}

// FailedAttempt is an attempt that failed or got a server error.
type FailedAttempt struct {
	Endpoint string  `json:"endpoint"`
	Failure  string  `json:"failure"`
	Run      string  `json:"run"` // whether the endpoint ran it, an outcome.Run
	Status   int     `json:"status"`
	AfterMS  int64   `json:"after_ms"`
	EndedBy  string  `json:"ended_by"`  // a forward.EndedBy
	SilentMS int64   `json:"silent_ms"` // of the endpoint, at the end of the attempt
	Events   int     `json:"events"`
	EventMS  float64 `json:"event_ms"` // mean time between events
	Error    string  `json:"error"`
}

// Read returns the log lines of r. Text before the first brace of a line, such as a host name added
// by a log collector, and lines that are not JSON objects are skipped.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		var l Line
		if json.Unmarshal([]byte("{"+text), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

// Step is one event that led to the outcome of a request.
type Step struct {
	At   time.Time
	Host string
	Text string
}

// Explanation is why a request ended as it did.
type Explanation struct {
	Request string
	Steps   []Step
	Cause   string
}

// ErrNotFound is returned for a request without a log line.
var ErrNotFound = errors.New("no log line of this request: it reached no router, its log line was over the log budget, or the logs are of another period")

// Explain returns the explanation of a request. A caller's retry has its own id
// and its own explanation.
func Explain(lines []Line, request string) (Explanation, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	at := slices.IndexFunc(lines, func(l Line) bool { return l.Message == "request" && l.Request == request })
	if at < 0 {
		return Explanation{}, ErrNotFound
	}
	l := lines[at]
	s := Explanation{Request: request, Cause: cause(l)}
	s.Steps = append(s.Steps, routerState(lines[:at], l)...)
	begun := l.Time.Add(-time.Duration(l.TookMS) * time.Millisecond)
	s.Steps = append(s.Steps, Step{begun, l.Host, describeArrival(l)})
	for _, f := range l.Failed {
		s.Steps = append(s.Steps, Step{begun.Add(time.Duration(f.AfterMS) * time.Millisecond), l.Host, describeAttempt(f)})
	}
	s.Steps = append(s.Steps, Step{l.Time, l.Host, describeOutcome(l)})
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return s, nil
}

// routerState returns the last events before the request about its configuration,
// its endpoints and the store.
func routerState(before []Line, l Line) []Step {
	last := make(map[string]Line)
	for _, b := range before {
		if b.Host != l.Host {
			continue
		}
		switch {
		case b.Message == "request" && b.Ejected != "" && slices.Contains(l.Endpoints, b.Ejected):
			last["ejected "+b.Ejected] = b
		case b.Endpoint != "" && slices.Contains(l.Endpoints, b.Endpoint):
			last["endpoint "+b.Endpoint] = b
		case b.Message == "configuration in force" && b.Version == l.Config:
			last["configuration"] = b
		case b.Message == "lost the store" || b.Message == "reached the store again":
			last["store "+b.Topic] = b
		case b.Message == "zone changed":
			last["zone "+b.Zone] = b
		case b.Message == "leaving" || b.Message == "started":
			last["process"] = b
		}
	}
	var steps []Step
	for _, b := range last {
		steps = append(steps, Step{b.Time, b.Host, describeState(b)})
	}
	slices.SortFunc(steps, func(a, b Step) int { return strings.Compare(a.Text, b.Text) })
	return steps
}

func describeArrival(l Line) string {
	text := fmt.Sprintf("arrived; route %q of configuration %d", l.Route, l.Config)
	if l.DrainingMS > 0 {
		text += fmt.Sprintf(", %d ms after the router's SIGTERM", l.DrainingMS)
	}
	switch {
	case l.BoundMS > 0:
		text += fmt.Sprintf(", expected to take at most %d ms with %d ms left", l.BoundMS, l.LeftMS)
	case l.LeftMS > 0:
		text += fmt.Sprintf(", with %d ms left; how long it takes was not known", l.LeftMS)
	}
	return text
}

func describeState(b Line) string {
	switch {
	case b.Message == "request":
		return fmt.Sprintf("endpoint %s ejected after request %s", b.Ejected, b.Request)
	case b.Endpoint != "":
		return b.Message + " " + b.Endpoint
	case b.Version != 0:
		return fmt.Sprintf("configuration %d in force", b.Version)
	case b.Zone != "" && b.Message == "zone changed":
		return fmt.Sprintf("zone %s out of service: %t", b.Zone, b.Out)
	case b.Topic != "":
		return b.Message + ": " + b.Topic
	default:
		return "process: " + b.Message
	}
}

func describeAttempt(f FailedAttempt) string {
	text := fmt.Sprintf("endpoint %s: %s, run: %s", f.Endpoint, f.Failure, f.Run)
	if f.Status != 0 {
		text += fmt.Sprintf(", status %d", f.Status)
	}
	if f.EndedBy != "" {
		text += fmt.Sprintf(", ended by the %s %d ms after the endpoint's last bytes", f.EndedBy, f.SilentMS)
	}
	if f.EventMS > 0 {
		text += fmt.Sprintf(", %d events, one each %.1f ms", f.Events, f.EventMS)
	}
	if f.Error != "" {
		text += ", " + f.Error
	}
	return text
}

func describeOutcome(l Line) string {
	text := fmt.Sprintf("ended: %s (code %d), status %d, after %d ms", l.Result, l.Code, l.Status, l.TookMS)
	if l.FirstMS > 0 {
		text += fmt.Sprintf(", first byte after %d ms of %d", l.FirstMS, l.FirstByteObjectiveMS)
	}
	if l.Events > 0 {
		text += fmt.Sprintf(", %d events", l.Events)
	}
	if l.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after %d ms", l.RetryAfterMS)
	}
	if l.ResponsesDiscarded > 0 {
		text += fmt.Sprintf(", %d responses to other requests discarded", l.ResponsesDiscarded)
	}
	if connection := usedTwice(l.Connections); connection != "" {
		text += fmt.Sprintf(", sent twice on connection %s", connection)
	}
	return text
}

// usedTwice returns a connection that carried the request more than once, or "".
func usedTwice(connections []string) string {
	for i, c := range connections {
		if c != "" && slices.Contains(connections[:i], c) {
			return c
		}
	}
	return ""
}

// cause describes the cause of the outcome in one sentence.
func cause(l Line) string {
	meaning := outcome.Code(l.Code).Info().Text
	switch {
	case l.Code == int(outcome.EndpointAtCap) && l.Limit > 0:
		return overloadCause(l)
	case len(l.Failed) == 0 && len(l.Endpoints) == 0 && l.Code != int(outcome.OK):
		return "Refused before it was sent: " + meaning
	case l.Status == http.StatusServiceUnavailable:
		return "Refused, as no endpoint ran it: " + failures(l)
	case l.Code == int(outcome.CallerGone):
		return "The caller left before its answer was complete."
	case l.Events > 0 && l.Code != int(outcome.OK):
		return fmt.Sprintf("The stream was cut after %d events: %s", l.Events, failures(l))
	case l.Code != int(outcome.OK):
		return "Failed after it was sent: " + failures(l)
	case l.FirstByteObjectiveMS > 0 && l.FirstMS > l.FirstByteObjectiveMS:
		return latenessCause(l)
	}
	return "Served in time."
}

// overloadCause describes why a request was refused when the load of its endpoints
// was too high for it.
func overloadCause(l Line) string {
	if l.Load+1 > l.Limit { // +1: the request itself
		return fmt.Sprintf("Refused before it was sent: all endpoints are full; the least loaded had %.1f requests of at most %.1f.", l.Load, l.Limit)
	}
	return fmt.Sprintf("Refused before it was sent: all endpoints are busy, and requests that are more urgent or shorter take the room that is left; its rank was %d.", l.Rank)
}

func failures(l Line) string {
	if len(l.Failed) == 0 {
		return outcome.Code(l.Code).Info().Text
	}
	var parts []string
	for _, f := range l.Failed {
		parts = append(parts, describeAttempt(f))
	}
	return strings.Join(parts, "; ") + "."
}

func latenessCause(l Line) string {
	switch {
	case len(l.Failed) > 0:
		return "Late, as an earlier attempt failed: " + failures(l)
	case l.Cold:
		return "Late at an endpoint in a cold start."
	default:
		text := fmt.Sprintf("Late at an endpoint that ran %d other requests when it was chosen, as far as known", l.Running)
		if l.Reported > 0 {
			text += fmt.Sprintf("; with its response it had %d", l.Reported)
		}
		return text + "."
	}
}
