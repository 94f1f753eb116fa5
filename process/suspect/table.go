package suspect

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

// DefaultCapacity is the number of bodies that a router remembers.
const DefaultCapacity = 8192

// Table is what a router knows of bodies: as home of some, and from the other
// homes of those that lost endpoints. It is safe for concurrent use.
type Table struct {
	mu       lock.Mutex[lock.Leaf]
	limit    int
	records  *simplelru.LRU[Fingerprint, *record] // bodies without losses
	guilty   *simplelru.LRU[Fingerprint, *record] // bodies with losses
	from     time.Time                            // suspects run from then on
	majority bool
}

// New returns an empty Table for capacity bodies without losses, and as many
// with losses. limit is the number of endpoints that one body may crash.
func New(capacity, limit int) (*Table, error) {
	records, err := simplelru.NewLRU[Fingerprint, *record](capacity, nil)
	if err != nil {
		return nil, errors.Wrap(err, "suspect table")
	}
	guilty, err := simplelru.NewLRU[Fingerprint, *record](capacity, nil)
	if err != nil {
		return nil, errors.Wrap(err, "suspect table")
	}
	return &Table{limit: limit, records: records, guilty: guilty}, nil
}

// SetLimit changes the number of endpoints that one body may crash.
func (t *Table) SetLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
}

// SetAuthority tells whether this router hears a majority, and from when on
// earlier homes no longer answer. Until then it lets no suspect run.
func (t *Table) SetAuthority(from time.Time, majority bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.from = from
	t.majority = majority
}

// Forward says to whom a message is to be sent on.
type Forward uint8

// The values of Spread.
const (
	ForwardToNone     Forward = iota
	ForwardToNextHome         // to the members that would be home next
	ForwardToAll              // to all members
)

// Result is the home's answer to a message.
type Result struct {
	Reply   *peerpb.SuspectReply
	Forward Forward
	Notice  *peerpb.Suspect // what to send on, for Learn
}

// Handle answers a message as the home of its fingerprint.
func (t *Table) Handle(now time.Time, m *peerpb.Suspect) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(Fingerprint(m.GetFingerprint()))
	switch {
	case m.GetCrashed():
		return t.crashed(now, r, m)
	case m.GetCleared():
		return t.cleared(now, r, m)
	case m.GetWithdrawn():
		r.stop(m.GetEndpoint())
		return Result{Reply: t.reply(now, r)}
	default:
		return Result{Reply: t.ask(now, r, m.GetEndpoint())}
	}
}

// HandleAsStandby answers a question as the next home of a fingerprint, to a router
// that cannot reach the home. It lets no suspect run, as the home may be doing
// so, and keeps copies of an unknown body on one endpoint.
func (t *Table) HandleAsStandby(now time.Time, m *peerpb.Suspect) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(Fingerprint(m.GetFingerprint()))
	reply := t.reply(now, r)
	switch Verdict(reply.Verdict) {
	case Blocked:
		reply.WaitMs = uint32(max(r.convicted.Sub(now), aloneRetry).Milliseconds())
	case Suspected:
		reply.WaitMs = uint32(aloneRetry.Milliseconds())
	case None:
		askCopy(now, r, m.GetEndpoint(), reply)
	}
	return Result{Reply: reply}
}

// record returns the record of f, a new one if there is none.
func (t *Table) record(f Fingerprint) *record {
	if r, ok := t.guilty.Get(f); ok {
		return r
	}
	if r, ok := t.records.Get(f); ok {
		return r
	}
	r := &record{}
	t.records.Add(f, r)
	return r
}

func (t *Table) reply(now time.Time, r *record) *peerpb.SuspectReply {
	return &peerpb.SuspectReply{Verdict: uint32(r.verdict(now, t.limit))}
}

// ask answers whether and where a copy of the body may run.
func (t *Table) ask(now time.Time, r *record, wanted string) *peerpb.SuspectReply {
	t.forgive(now, r)
	reply := t.reply(now, r)
	switch Verdict(reply.Verdict) {
	case Blocked:
		r.convict(now, t.limit)
		reply.WaitMs = uint32(r.convicted.Sub(now).Milliseconds())
	case Suspected:
		t.askAlone(now, r, wanted, reply)
	case None:
		askCopy(now, r, wanted, reply)
	}
	return reply
}

// forgive ends a suspicion that has grown old.
func (t *Table) forgive(now time.Time, r *record) {
	if len(r.losses) == 0 || r.guilty(t.limit) || now.Before(r.convicted) {
		return
	}
	if now.Sub(r.lastLoss) >= suspectFor && r.convicted.IsZero() {
		r.losses = nil
	}
}

// askAlone lets one copy of a suspect run at a time.
func (t *Table) askAlone(now time.Time, r *record, wanted string, reply *peerpb.SuspectReply) {
	if r.running(now) || !t.majority || now.Before(t.from) {
		reply.WaitMs = uint32(aloneRetry.Milliseconds())
		return
	}
	r.start(now, wanted, true)
	reply.Endpoint = wanted
}

// askCopy lets copies of a body that is not known yet run at one endpoint.
func askCopy(now time.Time, r *record, wanted string, reply *peerpb.SuspectReply) {
	if r.clean >= cleanRuns {
		return
	}
	if r.running(now) {
		wanted = r.at
	}
	r.start(now, wanted, false)
	reply.Endpoint = wanted
}

func (t *Table) crashed(now time.Time, r *record, m *peerpb.Suspect) Result {
	news := r.lose(now, loss{endpoint: m.GetEndpoint(), boot: m.GetBoot()})
	if r.at == m.GetEndpoint() {
		r.copies, r.alone = 0, false
	}
	t.blame(Fingerprint(m.GetFingerprint()), r)
	result := Result{Reply: t.reply(now, r)}
	if !news {
		return result
	}
	result.Forward = ForwardToNextHome
	if t.convicts(r, m) {
		r.convict(now, t.limit)
		result.Reply = t.reply(now, r)
		result.Forward = ForwardToAll
	}
	result.Notice = m
	return result
}

// blame moves a record to those that lost endpoints, so that a flood of
// harmless bodies does not push it out.
func (t *Table) blame(f Fingerprint, r *record) {
	t.records.Remove(f)
	t.guilty.Add(f, r)
}

func (t *Table) cleared(now time.Time, r *record, m *peerpb.Suspect) Result {
	suspected := r.verdict(now, t.limit) == Suspected
	r.stop(m.GetEndpoint())
	if !suspected {
		r.clean++
		return Result{Reply: t.reply(now, r)}
	}
	if !m.GetAlone() {
		return Result{Reply: t.reply(now, r)} // it ran before the loss
	}
	r.clean++
	return Result{Reply: t.reply(now, r), Forward: ForwardToNextHome, Notice: m}
}

// ApplyNotice takes a notice of a home: a loss, a conviction or an acquittal.
func (t *Table) ApplyNotice(now time.Time, m *peerpb.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := Fingerprint(m.GetFingerprint())
	r := t.record(f)
	if m.GetCleared() {
		r.clean++
		return
	}
	if !m.GetCrashed() {
		return
	}
	r.lose(now, loss{endpoint: m.GetEndpoint(), boot: m.GetBoot()})
	t.blame(f, r)
	if t.convicts(r, m) {
		r.convict(now, t.limit)
	}
}

// convicts reports whether the loss m, already counted in r, convicts the body.
func (t *Table) convicts(r *record, m *peerpb.Suspect) bool {
	if m.GetAlone() {
		r.trusted = false
	}
	return m.GetAlone() || r.guilty(t.limit)
}

// Verdict returns what this router knows of f without asking its home.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.guilty.Peek(f)
	if !ok {
		return None
	}
	return r.verdict(now, t.limit)
}
