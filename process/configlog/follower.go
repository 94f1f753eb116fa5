package configlog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/lock"
	"github.com/stoatmount/stoatmount/version/config"
)

// Member is a router that the configuration has to reach.
type Member struct {
	Name   string
	Region string
}

// Peers reaches the other routers.
type Peers interface {
	// Members returns every known router but this one: listed, in the view or
	// heard of lately. A view alone is not enough, as it shrinks on an island.
	// It returns false while they are not known.
	Members() ([]Member, bool)
	// Pull asks member for the records from offset from on. The answer is what
	// its Follower.Serve returned.
	Pull(ctx context.Context, member string, from platformclient.Offset) (*peerpb.ConfigPage, error)
}

// Options says how a Follower works. Zero durations and counts stand for the
// defaults.
type Options struct {
	Self    Member
	Log     platformclient.Log
	Peers   Peers
	Clock   clockwork.Clock
	Rand    *rand.Rand // owned by the Follower
	Checker *invariant.Checker
	Logger  logr.Logger

	// OnProgress is called, with the Follower locked, whenever records were applied or
	// the log's end was read. It must pass Status.KnownEnd to what gossips, so
	// that no message leaves without a record that this router has acknowledged.
	// It must not call the Follower. It may be nil.
	OnProgress func(Status)

	Fresh           time.Duration // how long a configuration may go unconfirmed
	Poll            time.Duration // wait of one read of the log
	CheckpointEvery time.Duration // age of the last checkpoint at which another is due
	CheckpointAfter int           // records after the last checkpoint at which another is due
	SubmitTimeout   time.Duration // how long Submit tries to append
}

// Defaults of Options.
const (
	defaultFresh           = 5 * time.Second
	defaultPoll            = 1500 * time.Millisecond
	defaultCheckpointEvery = 5 * time.Minute
	defaultCheckpointAfter = 256
	defaultPatience        = 4 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Fresh, defaultFresh)
	setDefault(&o.Poll, defaultPoll)
	setDefault(&o.CheckpointEvery, defaultCheckpointEvery)
	setDefault(&o.CheckpointAfter, defaultCheckpointAfter)
	setDefault(&o.SubmitTimeout, defaultPatience)
	return o
}

func setDefault[T time.Duration | int](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Follower keeps up with the config stream and publishes the configuration in
// force. It is safe for concurrent use.
type Follower struct {
	opt     Options
	started time.Time
	current atomic.Pointer[config.Snapshot]
	wake    chan struct{} // a peer has newer records

	mu       lock.Mutex[lock.ConfigFollower] // before member.Table.mu, through Options.Tell
	fold     *Fold                           // nil until a starting point is known
	start    starter
	recent   recentRecords
	fresh    *Freshness
	logEnd   time.Time             // when the end of the log was last read
	peerEnd  platformclient.Offset // newest end heard of
	due      time.Time             // when the next checkpoint is due
	advanced chan struct{}         // closed when records were applied or the end was read
	halted   error                 // why the fold cannot go on
	missing  *Gap                  // set when the log's end was read without a starting point
	known    platformclient.Offset // end of the records that were folded last; 0: none

	publishing  lock.Mutex[lock.Publishing] // taken before mu
	subscribers []func(*config.Snapshot)
}

// NewFollower returns a Follower that knows no configuration yet.
func NewFollower(o Options) *Follower {
	o = o.withDefaults()
	return &Follower{
		opt:      o,
		started:  o.Clock.Now(),
		wake:     make(chan struct{}, 1),
		fresh:    NewFreshness(o.Fresh),
		advanced: make(chan struct{}),
	}
}

// Snapshot returns the configuration in force, or nil if none is known.
func (f *Follower) Snapshot() *config.Snapshot { return f.current.Load() }

// Version returns the version in force.
func (f *Follower) Version() config.Version {
	if s := f.current.Load(); s != nil {
		return s.Version
	}
	return 0
}

// Subscribe calls notify for every later configuration, in order, and at once
// for the one in force. notify must not block or call the Follower.
func (f *Follower) Subscribe(notify func(*config.Snapshot)) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	f.subscribers = append(f.subscribers, notify)
	if s := f.current.Load(); s != nil {
		notify(s)
	}
}

// Fresh reports whether new work may be taken at now. A router that may not
// gossip yet takes none, as the others do not know of it.
func (f *Follower) Fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.halted == nil && f.readyLocked() && f.fresh.Fresh(now)
}

// Status is how far a Follower is, for gossip and for operators.
type Status struct {
	Version     config.Version
	Next        platformclient.Offset // all records before it are applied; 0: none
	KnownEnd    platformclient.Offset // newest end of the stream heard of
	LogReadAt   time.Time             // when this router last read the log's end
	ConfirmedAt time.Time             // see Freshness.Confirmed
	Halted      error                 // why records are no longer applied, or nil
	Missing     *Gap                  // records that cannot be had any more, or nil
}

// Gap is a run of records that expired before this router read them, with no
// later checkpoint that makes up for them. What they decided is not known, so
// no later change can be judged until an operator restores a configuration.
type Gap struct {
	From platformclient.Offset `json:"from"` // first missing record
	To   platformclient.Offset `json:"to"`   // first record that the log still holds
}

// Status returns how far f is.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statusLocked()
}

func (f *Follower) statusLocked() Status {
	s := Status{KnownEnd: f.peerEnd, LogReadAt: f.logEnd, ConfirmedAt: f.fresh.Confirmed(), Halted: f.halted, Missing: f.missing}
	if f.fold != nil {
		s.Next = f.fold.Next()
		s.Version = f.fold.State().Version
	}
	s.KnownEnd = max(s.KnownEnd, s.Next)
	return s
}

// History returns the remembered changes, oldest first.
func (f *Follower) History() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fold == nil {
		return nil
	}
	return f.fold.History()
}

// GossipUpdate is what gossip tells about the config stream.
type GossipUpdate struct {
	End             platformclient.Offset // newest end that the sender knows
	LogReadAt       time.Time             // when a router known to the sender read the log's end; zero: never
	MajorityHeardAt time.Time             // when this router heard a majority of the known routers; zero: never
}

// ObserveGossip takes news of the stream. Times are on this router's clock.
func (f *Follower) ObserveGossip(n GossipUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerEnd = max(f.peerEnd, n.End)
	next := f.nextLocked()
	if !n.LogReadAt.IsZero() {
		f.fresh.AddEvidence(n.LogReadAt, max(f.peerEnd, 1), next)
	}
	// A router that is not ready counts itself in a majority without knowing
	// what an earlier process of its name has acknowledged.
	if !n.MajorityHeardAt.IsZero() && f.readyLocked() {
		f.fresh.AddEvidence(n.MajorityHeardAt, max(f.peerEnd, 1), next)
	}
	if f.peerEnd > next {
		f.signalWake()
	}
}

func (f *Follower) nextLocked() platformclient.Offset {
	if f.fold == nil {
		return 0
	}
	return f.fold.Next()
}

func (f *Follower) signalWake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// signalAdvanced tells everybody about progress.
func (f *Follower) signalAdvanced() {
	if f.opt.OnProgress != nil {
		f.opt.OnProgress(f.statusLocked())
	}
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// publish makes state the configuration in force. A version that does not rise
// is never published.
func (f *Follower) publish(state config.State) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	current := f.current.Load()
	if current != nil {
		if current.Version == state.Version {
			return
		}
		rises := f.opt.Checker.Check(state.Version > current.Version, invariant.VersionNeverReverts, func() string {
			return versionEvidence(f.opt.Self.Name, current.Version, state.Version)
		})
		if !rises {
			return
		}
	}
	snapshot := config.NewSnapshot(state)
	f.current.Store(snapshot)
	for _, notify := range f.subscribers {
		notify(snapshot)
	}
}
