package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/connection/frontend"
	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/routing"
)

// Endpoints chooses endpoints and counts their requests.
type Endpoints interface {
	Acquire(now time.Time, w balance.Request) (*balance.Grant, *balance.Refusal)
	// Candidates returns how many endpoints Acquire could choose from.
	Candidates(now time.Time, w balance.Request) int
	// RecordLoad notes how many requests an endpoint said that it runs and queues.
	RecordLoad(now time.Time, g *balance.Grant, requests int)
	// Release ends a grant and reports whether the endpoint is left out from now on.
	Release(now time.Time, g *balance.Grant, f balance.Failure, latency time.Duration) bool
}

// RetryBudget bounds the repeats of a service over all routers.
type RetryBudget interface {
	CountRequest(now time.Time, service string)
	Allow(now time.Time, service string) bool
}

// Observer is told what became of each request.
type Observer interface {
	Request(r *Record)
}

// Server forwards requests. Its fields are set before the first request.
type Server struct {
	Codec       Codec
	Table       func() *routing.Table // the configuration in force; nil if none is known
	Endpoints   Endpoints
	Pool        *http1.Pool
	RetryBudget RetryBudget
	Observer    Observer
	RouterCount func() int // routers that share the connections of an endpoint
	// RefusesStreams reports whether the process is about to end, so that a new
	// stream may not reach its own end.
	RefusesStreams func() bool
}

const (
	// defaultTimeout bounds a request whose caller and route name no time.
	defaultTimeout = 30 * time.Second
	// retryNoConfig is the time after which a router without a configuration
	// expects to have one.
	retryNoConfig = time.Second
	// retryRefused is the time after which an endpoint that refused a request
	// is expected to have room.
	retryRefused = 300 * time.Millisecond
	// retryElsewhere is the time after which a caller of a leaving router may come
	// back; its next connection goes to another one.
	retryElsewhere = 50 * time.Millisecond
	// refusalsInRow ends a request that no endpoint takes.
	refusalsInRow = 3
)

// Serve answers one request of a caller.
func (s *Server) Serve(ctx context.Context, x *frontend.Exchange) {
	rec := &Record{Arrived: x.Arrived, Method: x.Head.Method, Target: x.Head.Target, Status: 0}
	defer func() {
		rec.Duration = time.Since(rec.Arrived)
		s.Observer.Request(rec)
	}()
	req, err := s.Codec.DecodeRequest(x.Head)
	if err != nil {
		s.refuse(x, rec, outcome.BadRequest, 0)
		return
	}
	rec.ID = req.ID
	j, code := s.admit(x, rec, req)
	if code != outcome.OK {
		after := map[outcome.Code]time.Duration{outcome.NoConfig: retryNoConfig, outcome.Draining: retryElsewhere}[code]
		s.refuse(x, rec, code, after)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.ctx = ctx
	j.run()
}

// admit checks a request against the configuration.
func (s *Server) admit(x *frontend.Exchange, rec *Record, req Request) (*job, outcome.Code) {
	table := s.Table()
	if table == nil {
		return nil, outcome.NoConfig
	}
	rec.Version = table.Version
	route, ok := table.Route(x.Head.Get("Host"), x.Head.Target)
	if !ok {
		return nil, outcome.NotFound
	}
	rec.Route, rec.Objective = route.Name, route.Objective
	j := &job{s: s, x: x, req: req, route: route, table: table, rec: rec, lastEvent: req.LastEventID}
	j.urgency = route.Priority
	if key, ok := promptKey(req.Parts); ok {
		rec.PromptKey, rec.SharedTokens = key, sharedTokens(req.Parts)
	}
	if table.RequiresKey && !route.Public {
		w, ok := table.Workspace(req.Key)
		if !ok {
			return nil, outcome.BadWorkspaceKey
		}
		j.workspace = w.Name
		if w.Priority != nil {
			j.urgency = *w.Priority
		}
	}
	if route.Kind == routing.Stream && s.RefusesStreams() {
		return nil, outcome.Draining
	}
	timeout := defaultTimeout
	if req.Timeout > 0 {
		timeout = req.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	j.deadline = x.Arrived.Add(timeout)
	return j, outcome.OK
}

// refuse gives an answer of the router's own. It promises that the request has
// not run, unless the code says otherwise.
func (s *Server) refuse(x *frontend.Exchange, rec *Record, code outcome.Code, after time.Duration) {
	info := code.Info()
	if info.Status != http.StatusServiceUnavailable {
		after = 0 // only a request that has not run may come back as it is
	}
	rec.Code, rec.Status, rec.RetryAfter = code, info.Status, after
	fields := s.Codec.EncodeRefusal(rec.ID, after)
	body := []byte(info.Text + "\n")
	if err := x.Respond(info.Status, append(fields, http1.Field{Name: "Content-Type", Value: "text/plain; charset=utf-8"}), body); err != nil {
		rec.Error = err.Error()
	}
}

// job is one request on its way.
type job struct {
	s         *Server
	ctx       context.Context
	x         *frontend.Exchange
	req       Request
	route     *routing.Route
	table     *routing.Table
	rec       *Record
	workspace string
	urgency   int
	deadline  time.Time

	runs      int      // endpoints that may have run it
	refusals  int      // endpoints that said that they did not
	tried     []string // endpoints not to use again
	lastEvent int64    // the caller has the events up to this one; -1 none
	held      *whole   // an endpoint's failure that is passed on if nothing better comes
	ranMaybe  bool     // something was sent and its outcome is not known
}

// run sends the request until it has a final answer.
func (j *job) run() {
	j.s.RetryBudget.CountRequest(j.x.Arrived, j.service())
	for {
		g, refusal := j.acquire()
		if refusal != nil {
			j.rec.Refusal = refusal
			j.giveUp(refusal.Code, refusal.RetryAfter)
			return
		}
		a := j.try(g)
		if j.settle(a) {
			return
		}
		if code := j.mayRepeat(a); code != outcome.OK {
			j.giveUp(code, retryRefused)
			return
		}
	}
}

// service returns the service that the request goes to first.
func (j *job) service() string {
	names := j.route.Services(xxhash.Sum64String(j.req.ID))
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// acquire chooses an endpoint of the route's services, the weighted one first.
func (j *job) acquire() (*balance.Grant, *balance.Refusal) {
	refusal := &balance.Refusal{Code: outcome.NoEndpoint, RetryAfter: retryRefused}
	for i, name := range j.route.Services(xxhash.Sum64String(j.req.ID)) {
		g, r := j.s.Endpoints.Acquire(time.Now(), j.want(name))
		if r == nil {
			return g, nil
		}
		if i == 0 {
			refusal = r
		}
	}
	return nil, refusal
}

// want describes the endpoint of a service that the request needs.
func (j *job) want(service string) balance.Request {
	w := balance.Request{Service: service, Exclude: j.tried, Class: j.route.Name, Workspace: j.workspace, Objective: j.route.Objective,
		UrgencyRank: j.table.Rank(service, j.urgency) + j.table.Rank(service, j.route.Priority)}
	w.Key, w.HasKey = promptKey(j.req.Parts)
	return w
}

// promptKey returns the key of the parts that a prompt shares with others: all
// but the last, which is the request's own.
func promptKey(parts []PromptPart) (uint64, bool) {
	switch n := len(parts); n {
	case 0:
		return 0, false
	case 1:
		return parts[0].ID, true
	default:
		return parts[n-2].ID, true
	}
}

// sharedTokens returns the tokens of the parts that a prompt shares.
func sharedTokens(parts []PromptPart) int {
	sum := 0
	for i, p := range parts {
		if i < len(parts)-1 || len(parts) == 1 {
			sum += p.Tokens
		}
	}
	return sum
}

// mayRepeat reports whether the request may go to another endpoint after a
// failed attempt.
func (j *job) mayRepeat(a *attempt) outcome.Code {
	if j.ctx.Err() != nil {
		return outcome.DeadlinePassed
	}
	switch a.run {
	case outcome.RunNot:
		if !a.reached {
			return outcome.OK // nothing arrived anywhere
		}
		j.refusals++
		if j.refusals >= refusalsInRow {
			return outcome.EndpointRefused
		}
	default:
		j.ranMaybe = true
		if !j.route.Repeatable() {
			return outcome.EndpointFailed
		}
		if j.runs >= max(1, j.route.MaxAttempts) {
			return outcome.EndpointFailed
		}
	}
	if !a.repeatTaken && !j.s.RetryBudget.Allow(time.Now(), a.grant.Service) {
		return outcome.RetryBudgetSpent
	}
	return outcome.OK
}

// giveUp gives the final answer of a request that no endpoint answered.
func (j *job) giveUp(code outcome.Code, after time.Duration) {
	if j.gone() {
		j.rec.Code = outcome.CallerGone
		return
	}
	if j.rec.HeadSent {
		j.rec.Code = code
		j.x.Abort()
		return
	}
	if j.held != nil {
		j.pass(j.held)
		return
	}
	if j.ctx.Err() != nil {
		code = outcome.DeadlinePassed
	} else if j.ranMaybe {
		code = outcome.EndpointFailed
	}
	j.s.refuse(j.x, j.rec, code, after)
}

// gone reports whether the caller has left; the deadline is no leaving.
func (j *job) gone() bool {
	return j.ctx.Err() != nil && time.Now().Before(j.deadline)
}

// answerFields returns the fields of an endpoint's answer that go to the
// caller.
func answerFields(h *http1.Head) []http1.Field {
	listed := h.Get("Connection")
	fields := make([]http1.Field, 0, len(h.Fields))
	for _, f := range h.Fields {
		if !http1.IsHopByHop(f.Name, listed) {
			fields = append(fields, f)
		}
	}
	return fields
}

func isEventStream(h *http1.Head) bool {
	return h.Status == http.StatusOK && strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
