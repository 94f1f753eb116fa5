package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/stoatmount/stoatmount/process/suspect"
)

const (
	// crashLimit is the number of consecutive crashes after which a body is refused that
	// never completed, and provenBodyCrashes the number for one that did, the last of them
	// provenBodyTime after the first or later. Copies of a body that many callers send run at
	// each endpoint, and are lost whenever the endpoints of their service crash.
	crashLimit        = 3
	provenBodyCrashes = 5
	provenBodyTime    = 1500 * time.Millisecond
	// crashSpacing is the time after a crash from which another one counts though its copy
	// was sent before: endpoints of one zone are lost within less.
	crashSpacing = 300 * time.Millisecond
	// doubtTime is the time from a body's quarantine until one copy runs as a trial if another
	// body was lost with the same endpoints, so that one of them may be sound. That is no longer
	// done maxDoubtTime after the quarantine.
	doubtTime    = time.Second
	maxDoubtTime = 5 * time.Second
	// commonLosses is the number of endpoints that two bodies have to be lost with.
	commonLosses = 2
	// quietTime is how long no copy may arrive until a body is forgotten.
	quietTime = time.Hour
	// firstTrial is the time from a body's quarantine until one copy may run again, so
	// that a harmless body is not refused for ever. It doubles with each crash.
	firstTrial   = 2 * time.Minute
	maxDoublings = 5
	// trialTime is how long the result of a trial is awaited before the next one.
	trialTime = 30 * time.Second
	// reportFor is how long a router reports its changes; quarantined bodies are always
	// reported, by all routers.
	reportFor = 2 * time.Second
	// maxReports bounds the reports in one heartbeat.
	maxReports = 64
	// maxRecords bounds the bodies and parts that are tracked.
	maxRecords = 1024
	// maxLost bounds the lost endpoints that are kept for a body.
	maxLost = 2 * crashLimit
	// maxCompletedBodies bounds the bodies that are remembered to have completed.
	maxCompletedBodies = 2048
)

// State is the result of the runs of a body, as far as one router knows it.
type State struct {
	Resets  int `json:"resets"`  // times that a completed run started the count of crashes again
	Crashes int `json:"crashes"` // consecutive crashes since then
}

// compare orders states by time: a completed run ends the crashes before it.
func (s State) compare(o State) int {
	return cmp.Or(cmp.Compare(s.Resets, o.Resets), cmp.Compare(s.Crashes, o.Crashes))
}

// limit returns the number of crashes from which the body is refused.
func (s State) limit() int {
	if s.Resets > 0 {
		return provenBodyCrashes
	}
	return crashLimit
}

// Quarantined reports whether the body is refused.
func (s State) Quarantined() bool { return s.Crashes >= s.limit() }

// Report is the State of a body, or of a part of prompts, for other routers.
type Report struct {
	Fingerprint suspect.Fingerprint `json:"body"`
	Part        uint64              `json:"part,omitempty"` // 0 for a body
	With        []uint64            `json:"with,omitempty"` // parts without which a prompt with Part is not refused
	State
	QuietMS int64    `json:"quiet_ms"`       // since the last copy arrived
	Lost    []string `json:"lost,omitempty"` // endpoints that went down with a copy since the last completed run
}

// record is what is known of a fingerprint: of a body or of a part of prompts.
type record struct {
	State
	part        uint64 // 0 for a body
	with        []uint64
	lost        []string
	firstCrash  time.Time // since the last completed run
	lastArrival time.Time
	crashedAt   time.Time // when the last crash became known
	changedAt   time.Time // last change by a request of this router
	nextTrial   time.Time // if quarantined
	reportedAt  time.Time // in a heartbeat, since the last change by a request of this router
	doubtEnded  bool      // the trial of a body that may be sound began here
}

// Change is a change of what is known of a body or of a part of prompts.
type Change struct {
	Fingerprint suspect.Fingerprint
	Part        uint64   // 0 for a body
	With        []uint64 // see Report
	State
	Suspected bool // Part explains several crashes; if not quarantined, it is refused for the moment
	Own       bool // caused by a request of this router
}

// Table holds the bodies that crashed an endpoint, and the parts of prompts that did. It
// is safe for concurrent use.
type Table struct {
	onChange func(Change)
	mayTry   func(f suspect.Fingerprint) bool
	size     atomic.Int64 // of records
	refuses  atomic.Bool  // some part is suspected or quarantined

	mu        sync.Mutex
	records   map[suspect.Fingerprint]*record
	evidence  evidence
	completed *simplelru.LRU[suspect.Fingerprint, struct{}] // bodies that completed at this router
}

// New returns an empty Table. onChange is called after each change, without locks.
// mayTry reports whether this router is the one that runs the trials of a quarantined
// body or part; it must not block.
func New(onChange func(Change), mayTry func(f suspect.Fingerprint) bool) *Table {
	completed, err := simplelru.NewLRU[suspect.Fingerprint, struct{}](maxCompletedBodies, nil)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return &Table{onChange: onChange, mayTry: mayTry, records: make(map[suspect.Fingerprint]*record), evidence: newEvidence(), completed: completed}
}

// Empty reports whether no body is tracked.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Check returns the State of a body before it is sent and, if it is refused, when it
// may be sent again.
func (t *Table) Check(now time.Time, f suspect.Fingerprint) (State, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.records[f]
	if b == nil {
		return State{}, 0
	}
	if b.expired(now) {
		t.remove(f)
		return State{}, 0
	}
	return b.State, t.wait(now, f, b)
}

// wait returns when a copy of a body may be sent, and lets one run as a trial if it is
// time for one.
func (t *Table) wait(now time.Time, f suspect.Fingerprint, b *record) time.Duration {
	b.lastArrival = now
	switch {
	case !b.Quarantined():
		return 0
	case t.isDoubtful(now, b):
		if until := b.crashedAt.Add(doubtTime); now.Before(until) {
			return until.Sub(now)
		}
		if !t.mayTry(f) {
			return doubtTime
		}
		b.doubtEnded = true
		return 0
	case now.Before(b.nextTrial):
		return b.nextTrial.Sub(now)
	case !t.mayTry(f):
		return trialTime
	}
	b.nextTrial = now.Add(trialTime)
	return 0
}

// isDoubtful reports whether the body may be sound, as another one was lost with the same
// endpoints, and no trial has decided that.
func (t *Table) isDoubtful(now time.Time, b *record) bool {
	if b.part != 0 || b.doubtEnded || b.Crashes > b.limit() || now.Sub(b.crashedAt) >= maxDoubtTime {
		return false
	}
	need := min(commonLosses, len(b.lost))
	for _, other := range t.records {
		if other == b || other.part != 0 || other.Crashes < commonLosses {
			continue
		}
		common := 0
		for _, e := range b.lost {
			if slices.Contains(other.lost, e) {
				common++
			}
		}
		if common >= need {
			return true
		}
	}
	return false
}

// Crashed records that a copy of a body crashed its endpoint. sent is what Check returned
// before the copy was sent, at sentAt.
func (t *Table) Crashed(now time.Time, f suspect.Fingerprint, sent State, endpoint string, sentAt time.Time) {
	lost := []string{endpoint}
	t.mu.Lock()
	if t.completed.Contains(f) {
		sent.Resets = max(sent.Resets, 1)
	}
	next := State{Resets: sent.Resets, Crashes: sent.Crashes + 1}
	if b := t.records[f]; b != nil && b.Resets == sent.Resets {
		if now.Sub(b.crashedAt) >= crashSpacing {
			next.Crashes = b.Crashes + 1
		}
		lost = union(b.lost, lost)
		if b.Crashes > 0 && sentAt.Sub(b.firstCrash) >= crashSpacing && len(lost) >= next.limit() {
			next.Crashes = max(next.Crashes, next.limit())
		}
		if next.Resets > 0 && now.Sub(b.firstCrash) < provenBodyTime {
			next.Crashes = min(next.Crashes, provenBodyCrashes-1)
		}
	}
	t.mu.Unlock()
	t.set(now, Report{Fingerprint: f, State: next, Lost: lost}, now, true)
}

// Completed records that a body ran to its end.
func (t *Table) Completed(now time.Time, f suspect.Fingerprint) {
	t.mu.Lock()
	t.completed.Add(f, struct{}{})
	b := t.records[f]
	if b == nil || b.Crashes == 0 {
		t.mu.Unlock()
		return
	}
	next := State{Resets: b.Resets + 1}
	t.mu.Unlock()
	t.set(now, Report{Fingerprint: f, State: next}, now, true)
}

// set replaces the State of a body by a later one, and adds to the endpoints lost to the
// same one.
func (t *Table) set(now time.Time, r Report, lastArrival time.Time, own bool) {
	t.mu.Lock()
	b := t.records[r.Fingerprint]
	if b == nil {
		t.makeRoom(now)
		b = &record{part: r.Part, with: r.With}
		t.records[r.Fingerprint] = b
		t.size.Store(int64(len(t.records)))
	}
	if lastArrival.After(b.lastArrival) {
		b.lastArrival = lastArrival
	}
	changed := r.compare(b.State) > 0
	if b.part != 0 && r.Resets > b.Resets {
		t.evidence.completedElsewhere(now, b.part)
		t.evidence.suspect(now)
	}
	if r.Resets > b.Resets || b.Crashes == 0 {
		b.lost, b.firstCrash, b.doubtEnded = nil, now, false
	}
	if changed {
		b.State, b.crashedAt = r.State, now
		b.nextTrial = now.Add(firstTrial << min(max(0, r.Crashes-r.limit()), maxDoublings))
	}
	if r.Resets == b.Resets {
		b.lost = union(b.lost, r.Lost)
	}
	b.with = both(b.with, r.With)
	if changed && own {
		b.changedAt, b.reportedAt = now, time.Time{}
	}
	if b.part != 0 && b.Quarantined() {
		t.refuses.Store(true)
	}
	c := Change{Fingerprint: r.Fingerprint, Part: b.part, With: b.with, State: b.State, Own: own}
	t.mu.Unlock()
	if changed {
		t.onChange(c)
	}
}

// union returns the endpoints of both lists, up to maxLost.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, e := range b {
		if len(all) < maxLost && !slices.Contains(all, e) {
			all = append(all, e)
		}
	}
	return all
}

// Merge applies the reports of another router.
func (t *Table) Merge(now time.Time, reports []Report) {
	for _, r := range reports {
		if quiet := time.Duration(r.QuietMS) * time.Millisecond; quiet < quietTime {
			t.set(now, r, now.Add(-quiet), false)
		}
	}
}

func (b *record) expired(now time.Time) bool { return now.Sub(b.lastArrival) >= quietTime }

func (t *Table) remove(f suspect.Fingerprint) {
	delete(t.records, f)
	t.size.Store(int64(len(t.records)))
}

// makeRoom removes expired bodies and, if the table is still full, one with the
// fewest crashes, so that a flood of other bodies does not release a quarantined one.
func (t *Table) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	var least suspect.Fingerprint
	for f, b := range t.records {
		if b.expired(now) {
			t.remove(f)
			continue
		}
		if l := t.records[least]; l == nil || b.Crashes < l.Crashes {
			least = f
		}
	}
	if len(t.records) >= maxRecords {
		t.remove(least)
	}
}

// Counts are the numbers of bodies and parts that are refused.
type Counts struct{ Bodies, Parts, Suspected int }

// Counts returns how much is refused now.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{Suspected: len(t.evidence.suspected)}
	for _, b := range t.records {
		switch {
		case !b.Quarantined():
		case b.part != 0:
			c.Parts++
		default:
			c.Bodies++
		}
	}
	return c
}
