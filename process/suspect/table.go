package suspect

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

// DefaultCapacity bounds the tracked bodies without losses, and those with losses.
const DefaultCapacity = 8192

// Table is the state of bodies on one router: those it is home or next home of,
// and those with a loss that other routers reported. It is safe for concurrent use.
type Table struct {
	mu            lock.Mutex[lock.Leaf]
	limit         int
	withoutLosses *simplelru.LRU[Fingerprint, *record]
	withLosses    *simplelru.LRU[Fingerprint, *record]
	mayRunFrom    time.Time // suspects may run from then on
	majority      bool
}

// New returns an empty Table for up to capacity bodies without losses and as many
// with losses. limit is the number of endpoints that one body may crash.
func New(capacity, limit int) (*Table, error) {
	withoutLosses, err := simplelru.NewLRU[Fingerprint, *record](capacity, nil)
	if err != nil {
		return nil, errors.Wrap(err, "suspect table")
	}
	withLosses, err := simplelru.NewLRU[Fingerprint, *record](capacity, nil)
	if err != nil {
		return nil, errors.Wrap(err, "suspect table")
	}
	return &Table{limit: limit, withoutLosses: withoutLosses, withLosses: withLosses}, nil
}

// SetLimit changes the number of endpoints that one body may crash.
func (t *Table) SetLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
}

// SetAuthority sets when this router lets suspects run: while it reaches a majority,
// from the time mayRunFrom on, when earlier homes no longer answer.
func (t *Table) SetAuthority(mayRunFrom time.Time, majority bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mayRunFrom = mayRunFrom
	t.majority = majority
}

// Forward selects the routers to which a message is forwarded.
type Forward uint8

// The values of Forward.
const (
	ForwardToNone     Forward = iota
	ForwardToNextHome         // to the member that would be the next home
	ForwardToAll              // to all other known routers
)

// Result is the home's reply to a message and the notice to forward.
type Result struct {
	Reply   *peerpb.SuspectReply
	Forward Forward
	Notice  *peerpb.Suspect // message to forward, for ApplyNotice
}

// Handle processes a message as the home of its fingerprint.
func (t *Table) Handle(now time.Time, m *peerpb.Suspect) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(Fingerprint(m.GetFingerprint()))
	switch {
	case m.GetCrashed(): // a loss
		return t.handleCrashed(now, r, m)
	case m.GetCleared(): // the run completed
		return t.handleCleared(now, r, m)
	case m.GetWithdrawn(): // the run ended without completing
		r.stop(m.GetEndpoint())
		return Result{Reply: t.reply(now, r)}
	default: // a question before dispatch
		return Result{Reply: t.admit(now, r, m.GetEndpoint())}
	}
}

// HandleAsStandby answers a router that cannot reach the home, as the next home. It
// lets no suspect run, since the home may be running it, and keeps copies of a body
// that is not yet trusted on one endpoint.
func (t *Table) HandleAsStandby(now time.Time, m *peerpb.Suspect) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(Fingerprint(m.GetFingerprint()))
	reply := t.reply(now, r)
	switch Verdict(reply.Verdict) {
	case Blocked:
		reply.WaitMs = uint32(max(r.blockedUntil.Sub(now), suspectRetry).Milliseconds())
	case Suspected:
		reply.WaitMs = uint32(suspectRetry.Milliseconds())
	case None:
		admitCopy(now, r, m.GetEndpoint(), reply)
	}
	return Result{Reply: reply}
}

// record returns the record of f, creating it if there is none.
func (t *Table) record(f Fingerprint) *record {
	if r, ok := t.withLosses.Get(f); ok {
		return r
	}
	if r, ok := t.withoutLosses.Get(f); ok {
		return r
	}
	r := &record{}
	t.withoutLosses.Add(f, r)
	return r
}

func (t *Table) reply(now time.Time, r *record) *peerpb.SuspectReply {
	return &peerpb.SuspectReply{Verdict: uint32(r.verdict(now, t.limit))}
}

// admit decides whether and where a copy of the body may run.
func (t *Table) admit(now time.Time, r *record, wanted string) *peerpb.SuspectReply {
	t.expireSuspicion(now, r)
	reply := t.reply(now, r)
	switch Verdict(reply.Verdict) {
	case Blocked:
		r.block(now, t.limit)
		reply.WaitMs = uint32(r.blockedUntil.Sub(now).Milliseconds())
	case Suspected:
		t.admitSuspect(now, r, wanted, reply)
	case None:
		admitCopy(now, r, wanted, reply)
	}
	return reply
}

// expireSuspicion forgets the losses of a body that was never blocked and had no loss
// for suspectFor.
func (t *Table) expireSuspicion(now time.Time, r *record) {
	if len(r.losses) == 0 || r.blockedByLosses(t.limit) || now.Before(r.blockedUntil) {
		return
	}
	if now.Sub(r.lastLoss) >= suspectFor && r.blockedUntil.IsZero() {
		r.losses = nil
	}
}

// admitSuspect lets one copy of a suspect run at a time.
func (t *Table) admitSuspect(now time.Time, r *record, wanted string, reply *peerpb.SuspectReply) {
	if r.running(now) || !t.majority || now.Before(t.mayRunFrom) {
		reply.WaitMs = uint32(suspectRetry.Milliseconds())
		return
	}
	r.start(now, wanted, true)
	reply.Endpoint = wanted
}

// admitCopy lets copies of a body that is not yet trusted run at one endpoint.
func admitCopy(now time.Time, r *record, wanted string, reply *peerpb.SuspectReply) {
	if r.completedRuns >= trustedRuns {
		return
	}
	if r.running(now) {
		wanted = r.endpoint
	}
	r.start(now, wanted, false)
	reply.Endpoint = wanted
}

func (t *Table) handleCrashed(now time.Time, r *record, m *peerpb.Suspect) Result {
	isNew := r.addLoss(now, loss{endpoint: m.GetEndpoint(), incarnation: m.GetBoot()})
	if r.endpoint == m.GetEndpoint() {
		r.copies, r.alone = 0, false
	}
	t.moveToWithLosses(Fingerprint(m.GetFingerprint()), r)
	result := Result{Reply: t.reply(now, r)}
	if !isNew {
		return result
	}
	result.Forward = ForwardToNextHome
	if t.mustBlock(r, m) {
		r.block(now, t.limit)
		result.Reply = t.reply(now, r)
		result.Forward = ForwardToAll
	}
	result.Notice = m
	return result
}

// moveToWithLosses moves a record to withLosses, so that a flood of harmless bodies
// does not evict it.
func (t *Table) moveToWithLosses(f Fingerprint, r *record) {
	t.withoutLosses.Remove(f)
	t.withLosses.Add(f, r)
}

func (t *Table) handleCleared(now time.Time, r *record, m *peerpb.Suspect) Result {
	suspected := r.verdict(now, t.limit) == Suspected
	r.stop(m.GetEndpoint())
	if !suspected {
		r.completedRuns++
		return Result{Reply: t.reply(now, r)}
	}
	if !m.GetAlone() {
		return Result{Reply: t.reply(now, r)} // it was dispatched before the loss
	}
	r.completedRuns++
	return Result{Reply: t.reply(now, r), Forward: ForwardToNextHome, Notice: m}
}

// ApplyNotice applies a notice of the home or an entry host: a loss, a block or a clearance.
func (t *Table) ApplyNotice(now time.Time, m *peerpb.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := Fingerprint(m.GetFingerprint())
	r := t.record(f)
	if m.GetCleared() {
		r.completedRuns++
		return
	}
	if !m.GetCrashed() {
		return
	}
	r.addLoss(now, loss{endpoint: m.GetEndpoint(), incarnation: m.GetBoot()})
	t.moveToWithLosses(f, r)
	if t.mustBlock(r, m) {
		r.block(now, t.limit)
	}
}

// mustBlock reports whether the loss m, already added to r, blocks the body. A loss
// while it ran alone also ends the trust in it.
func (t *Table) mustBlock(r *record, m *peerpb.Suspect) bool {
	if m.GetAlone() {
		r.trustedBeforeLoss = false
	}
	return m.GetAlone() || r.blockedByLosses(t.limit)
}

// Verdict returns the local verdict on f, without asking its home.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.withLosses.Peek(f)
	if !ok {
		return None
	}
	return r.verdict(now, t.limit)
}

// maxNotices bounds the bodies in Notices.
const maxNotices = 256

// Notices returns the notices from which a router that started later learns of the
// newest bodies that are suspected or blocked.
func (t *Table) Notices(now time.Time) []*peerpb.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.withLosses.Keys() // oldest first
	var notices []*peerpb.Suspect
	for _, f := range keys[max(0, len(keys)-maxNotices):] {
		r, _ := t.withLosses.Peek(f)
		verdict := r.verdict(now, t.limit)
		if verdict == None || r.trustedBeforeLoss { // the losses of a trusted body alone would block it elsewhere
			continue
		}
		for i, l := range r.losses {
			notices = append(notices, &peerpb.Suspect{Fingerprint: uint64(f), Endpoint: l.endpoint, Boot: l.incarnation, Crashed: true,
				Alone: verdict == Blocked && i == len(r.losses)-1})
		}
	}
	return notices
}
