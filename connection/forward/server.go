package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/frontend"
	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/pace"
	"github.com/stoatmount/stoatmount/process/quarantine"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/routing"
)

// Server forwards requests. Its fields are set before the first request.
type Server struct {
	Codec       Codec
	Table       func() *routing.Table // the configuration in force; nil if none is known
	Endpoints   Endpoints
	Pool        *http1.Pool // to endpoints
	RelayPool   *http1.Pool // to other routers
	RetryBudget RetryBudget
	Quarantine  *quarantine.Table // bodies and parts of prompts that crashed endpoints
	Origins     Origins
	Links       Links
	Permits     Permits // nil if no service uses them
	Observer    Observer
	OnLeaving   func(g *balance.Grant)                         // called when an endpoint announces that it leaves
	OnAnnounced func(g *balance.Grant, a balance.Announcement) // called when what an endpoint says about its requests changes
	OnRejection func(g *balance.Grant)                         // called when a brittle endpoint rejects a request
	OnOverload  func()                                         // called when an endpoint reports an overload of which the routers did not know
	RouterCount func() int                                     // routers that share the connections of an endpoint
	Others      func() Others                                  // now

	drain       drain
	paces       pace.Table
	crashChecks atomic.Int64 // in progress beside their requests or after their end
	buffered    http1.Memory // of responses
}

const (
	// defaultTimeout bounds a request whose caller and route set no timeout.
	defaultTimeout = 30 * time.Second
	// retryNoConfig is the Retry-After of a router that has no configuration yet.
	retryNoConfig = time.Second
	// retryRefused is the Retry-After of a request that got no endpoint or may not
	// be retried: by then an endpoint is expected to have capacity.
	retryRefused = 300 * time.Millisecond
	// maxRefusals is the number of endpoints' refusals that ends a request.
	maxRefusals = 3
)

// Serve handles one request of a caller.
func (s *Server) Serve(ctx context.Context, x *frontend.Exchange) { s.serve(ctx, x, false) }

func (s *Server) serve(ctx context.Context, x *frontend.Exchange, relayed bool) {
	rec := &Record{Arrived: x.Arrived, Method: x.Head.Method, Target: x.Head.Target, LastEventID: -1, Relayed: relayed}
	var req Request
	service := ""
	defer func() {
		now := time.Now()
		rec.Duration = now.Sub(rec.Arrived)
		s.recordPace(now, rec, service, req.size())
		s.Observer.Request(rec)
	}()
	var err error
	if req, err = s.Codec.DecodeRequest(x.Head); err != nil {
		s.refuse(x, rec, outcome.BadRequest, 0)
		return
	}
	rec.ID, rec.Resumes, rec.LastEventID = req.ID, req.Resumes, req.LastEventID
	if rec.Draining = s.drain.since(x.Read); rec.Draining > 0 {
		rec.Reading, rec.Others = x.Read.Sub(x.Arrived), s.Others()
	}
	j, code := s.admit(x, rec, req)
	if code != outcome.OK {
		after := time.Duration(0)
		switch code {
		case outcome.NoConfig:
			after = retryNoConfig
		case outcome.Draining:
			after = s.retryAfterDrain(time.Now())
		}
		s.refuse(x, rec, code, after)
		return
	}
	service = j.service()
	if req.LastEventID < 0 {
		j.pace = s.paces.Begin(rec.Arrived, rec.Route, service, req.size())
		defer func() { s.paces.End(time.Now(), j.pace) }()
	}
	ctx, cancel := s.requestContext(ctx, j)
	defer cancel()
	j.requestCtx = ctx
	defer func() { s.buffered.Release(j.buffered) }()
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
	j := &job{s: s, x: x, req: req, route: route, table: table, rec: rec, lastEventID: req.LastEventID}
	j.maxRuns = max(1, route.MaxAttempts)
	if rec.Relayed {
		j.runs = relayRuns(x.Head)
		j.maxRuns = j.runs + 1
		rec.Runs = j.runs
	}
	j.priority = route.Priority
	if key, ok := promptKey(req.Parts); ok {
		rec.PromptKey, rec.SharedTokens = key, sharedTokens(req.Parts)
	}
	if table.RequiresKey && !route.Public {
		workspace, ok := table.Workspace(req.Key)
		if !ok {
			return nil, outcome.BadWorkspaceKey
		}
		j.workspace = workspace.Name
		if workspace.Priority != nil {
			j.priority = *workspace.Priority
		}
	}
	timeout := defaultTimeout
	if req.Timeout > 0 {
		timeout = req.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	j.deadline = x.Arrived.Add(timeout)
	if !s.takes(time.Now(), j.service(), rec, req.size(), j.deadline) {
		return nil, outcome.Draining
	}
	return j, outcome.OK
}

// refuse sends a response of the router's own. The status and text of code tell the
// caller whether the request may have run.
func (s *Server) refuse(x *frontend.Exchange, rec *Record, code outcome.Code, after time.Duration) {
	info := code.Info()
	if info.Status != http.StatusServiceUnavailable {
		after = 0 // only a request that has not run may be retried as it is
	}
	rec.Code, rec.Status, rec.RetryAfter = code, info.Status, after
	fields := appendRelayFields(s.Codec.EncodeRefusal(rec.ID, after), rec, code)
	body := []byte(info.Text + "\n")
	if err := x.Respond(info.Status, append(fields, http1.Field{Name: "Content-Type", Value: "text/plain; charset=utf-8"}), body); err != nil {
		rec.Error = err.Error()
	}
}

// job is one request in progress.
type job struct {
	s          *Server
	requestCtx context.Context
	x          *frontend.Exchange
	req        Request
	route      *routing.Route
	table      *routing.Table
	rec        *Record
	workspace  string
	priority   int
	deadline   time.Time
	pace       *pace.Running // nil if a part of its stream had run before
	response   atomic.Int32  // a responseState

	buffered     int64             // bytes reserved for responses
	runs         int               // endpoints that may have run it
	maxRuns      int               // bound on runs
	refusals     int               // by endpoints, which did not run it
	tried        []string          // endpoints to exclude from the next attempt
	ids          numbering         // of the events that the caller has
	unnumbered   bool              // the last event that the caller has has no id
	lastEventID  int64             // last event that the caller has; -1 if none
	lastResponse *bufferedResponse // server error, or stream without events, to pass on if no retry does better
	ends         int               // endpoints in a row that sent no event and said that the stream has ended
	mayHaveRun   bool              // it was sent, and whether it ran is not known
	unreached    int               // endpoints to which no connection could be opened
	answeredOn   []*http1.Conn     // connections on which it got a response after which it may be sent again
	relays       []string          // addresses of the routers to which it was relayed
	takeover     *takeover         // in progress; nil if there is none

	permit *Permit         // of the endpoint chosen last; nil if it needed none
	origin *origins.Origin // of the stream's events; nil before the first

	body   suspect.Fingerprint // 0 until fingerprint is called
	sent   quarantine.State    // of the body when it was last checked
	shared []uint64            // parts of the prompt but the last; nil until sharedParts is called
}

// run sends the request until it has a final response.
func (j *job) run() {
	if !j.rec.Relayed { // the router that relayed it has counted it
		j.s.RetryBudget.CountRequest(j.x.Arrived, j.service())
	}
	if code := j.findOrigin(); code != outcome.OK {
		j.fail(code, retryOriginUnknown)
		return
	}
	for {
		if code, wait := j.checkQuarantine(); code != outcome.OK {
			j.fail(code, wait)
			return
		}
		if j.viaRelay() {
			relayed, final := j.relay()
			if final {
				return
			}
			if relayed {
				continue
			}
		}
		g, refusal := j.acquireNext()
		if refusal != nil {
			relayed, final := j.relayUnreached(refusal)
			if final {
				return
			}
			if relayed {
				continue
			}
			j.rec.Refusal = refusal
			j.fail(refusal.Code, refusal.RetryAfter)
			return
		}
		a := j.sendAttempt(g)
		final := j.finish(a)
		for next := j.nextSuccessorOf(final); next != nil; next = j.nextSuccessorOf(final) {
			a, final = next, j.finish(next)
		}
		if final {
			return
		}
		if code := j.checkRetry(a); code != outcome.OK {
			j.fail(code, retryRefused)
			return
		}
	}
}

// requestHash returns a hash of the request's id, which an endpoint repeats in its response.
func (j *job) requestHash() uint64 { return xxhash.Sum64String(j.req.ID) }

// service returns the service that is tried first.
func (j *job) service() string {
	names := j.route.Services(j.requestHash())
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// acquire chooses an endpoint from Route.Services in order; the first is drawn by weight.
func (j *job) acquire() (*balance.Grant, *balance.Refusal) {
	refusal := &balance.Refusal{Code: outcome.NoEndpoint, RetryAfter: retryRefused}
	for i, name := range j.route.Services(j.requestHash()) {
		if !j.mayGoOnAt(name) {
			continue
		}
		g, r := j.acquireAt(name)
		if r == nil {
			return g, nil
		}
		if i == 0 || j.origin != nil {
			refusal = r
		}
		if j.rec.Permit.Result == PermitLeft {
			break // the caller left while the request waited for a permit
		}
	}
	return nil, refusal
}

// balanceRequest describes the endpoint of a service that the request needs.
func (j *job) balanceRequest(service string) balance.Request {
	req := balance.Request{Service: service, IDHash: j.requestHash(), Retry: j.runs > 0, Exclude: j.tried, Class: j.route.Name, Workspace: j.workspace, Objective: j.route.Objective,
		PriorityRank: j.table.Rank(service, j.priority) + j.table.Rank(service, j.route.Priority)}
	req.Key, req.HasKey = promptKey(j.req.Parts)
	req.Tokens, req.Shared = promptTokens(&j.req)
	if j.origin != nil {
		req.Version = &j.origin.Version
	}
	return req
}

// promptKey returns the id of the last part that a prompt shares with others: the
// one before the request's own. A prompt of one part counts as shared.
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

// partIDs returns the ids of a prompt's parts.
func partIDs(parts []PromptPart) []uint64 {
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
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

// checkRetry returns outcome.OK if the request may be retried at another
// endpoint after a failed attempt, and otherwise why not.
func (j *job) checkRetry(a *attempt) outcome.Code {
	if j.requestCtx.Err() != nil {
		return outcome.DeadlinePassed
	}
	switch a.run {
	case outcome.RunNot:
		if !a.reached {
			j.unreached++
			return outcome.OK // it reached no endpoint
		}
		j.refusals++
		if j.refusals >= maxRefusals {
			return outcome.EndpointRefused
		}
	default:
		j.mayHaveRun = true
		if !j.mayRunAgain() {
			return outcome.EndpointFailed
		}
		if j.runs >= j.maxRuns {
			return outcome.EndpointFailed
		}
	}
	if !a.retryAllowed && !j.s.RetryBudget.Allow(time.Now(), a.grant.Service) {
		return outcome.RetryBudgetSpent
	}
	return outcome.OK
}

// fail sends the final response to a request that got none from an endpoint.
func (j *job) fail(code outcome.Code, after time.Duration) {
	if j.callerGone() {
		j.rec.Code = outcome.CallerGone
		return
	}
	if j.rec.HeadSent {
		j.rec.Code = code
		j.x.Abort()
		return
	}
	if j.lastResponse != nil {
		j.respond(j.lastResponse)
		return
	}
	if j.requestCtx.Err() != nil {
		code = outcome.DeadlinePassed
	} else if j.mayHaveRun {
		code = outcome.EndpointFailed
	}
	j.s.refuse(j.x, j.rec, code, after)
}

// callerGone reports whether the caller closed its connection: the context ended
// before the deadline, and not with the process.
func (j *job) callerGone() bool {
	return j.requestCtx.Err() != nil && time.Now().Before(j.deadline) && !errors.Is(context.Cause(j.requestCtx), errProcessEnds)
}

// responseFields returns the fields of an endpoint's response that are passed
// on to the caller.
func responseFields(h *http1.Head) []http1.Field {
	listed := h.Get("Connection")
	fields := make([]http1.Field, 0, len(h.Fields))
	for _, f := range h.Fields {
		if !http1.IsHopByHop(f.Name, listed) && !IsRelayField(f.Name) {
			fields = append(fields, f)
		}
	}
	return fields
}
