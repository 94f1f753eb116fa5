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

// Member is a router that the configuration is replicated to.
type Member struct {
	Name   string
	Region string
}

// Peers gives access to the other routers.
type Peers interface {
	// Members returns every known router but this one: those in the platform's
	// list, in the view or in recent gossip. The view alone is not enough, as it
	// shrinks in a network partition. It returns false while they are unknown.
	Members() ([]Member, bool)
	// Pull requests the records from offset from on. It returns the result of
	// Follower.ServePage at member.
	Pull(ctx context.Context, member string, from platformclient.Offset) (*peerpb.ConfigPage, error)
}

// Options configures a Follower. Zero durations and counts select the defaults.
type Options struct {
	Self    Member
	Log     platformclient.Log
	Peers   Peers
	Clock   clockwork.Clock
	Rand    *rand.Rand // owned by the Follower
	Checker *invariant.Checker
	Logger  logr.Logger

	// OnProgress is called, with the Follower locked, whenever records were
	// applied or the end of the log was read. It must hand Status.KnownEnd to the
	// gossip, so that every later message names an end that includes all records
	// confirmed by ServePage. It must not call the Follower. It may be nil.
	OnProgress func(Status)

	FreshFor        time.Duration // how long the configuration stays usable without confirmation
	PollWait        time.Duration // long-poll wait of one read of the log
	CheckpointEvery time.Duration // time from the last checkpoint to the next, before jitter
	CheckpointAfter int           // records since the last checkpoint at which the next is due
	SubmitTimeout   time.Duration // how long Submit appends and waits for a majority
}

// Defaults of Options.
const (
	defaultFreshFor        = 5 * time.Second
	defaultPollWait        = 1500 * time.Millisecond
	defaultCheckpointEvery = 5 * time.Minute
	defaultCheckpointAfter = 256
	defaultSubmitTimeout   = 4 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.FreshFor, defaultFreshFor)
	setDefault(&o.PollWait, defaultPollWait)
	setDefault(&o.CheckpointEvery, defaultCheckpointEvery)
	setDefault(&o.CheckpointAfter, defaultCheckpointAfter)
	setDefault(&o.SubmitTimeout, defaultSubmitTimeout)
	return o
}

func setDefault[T time.Duration | int](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Follower follows the config stream and publishes the configuration in force.
// It is safe for concurrent use.
type Follower struct {
	opt     Options
	started time.Time
	current atomic.Pointer[config.Snapshot]
	wake    chan struct{} // a peer has newer records

	mu            lock.Mutex[lock.ConfigFollower] // taken before member.Table.mu, through Options.OnProgress
	fold          *Fold                           // nil until a starting point is found
	start         startFinder
	recent        recentRecords
	fresh         *Freshness
	logReadAt     time.Time             // when the end of the log was last read by this router
	knownEnd      platformclient.Offset // newest end of the stream known from gossip or the log
	checkpointDue time.Time             // zero: not planned yet
	advanced      chan struct{}         // closed when records were applied or the end was read
	halted        error                 // why no more records can be applied
	missing       *Gap                  // set when the end of the log was read without a starting point
	appliedEnd    platformclient.Offset // next offset when records were last applied; 0: never

	publishing  lock.Mutex[lock.ConfigPublishing] // taken before mu
	subscribers []func(*config.Snapshot)
}

// NewFollower returns a Follower without a configuration.
func NewFollower(o Options) *Follower {
	o = o.withDefaults()
	return &Follower{
		opt:      o,
		started:  o.Clock.Now(),
		wake:     make(chan struct{}, 1),
		fresh:    NewFreshness(o.FreshFor),
		advanced: make(chan struct{}),
	}
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (f *Follower) Snapshot() *config.Snapshot { return f.current.Load() }

// Version returns the version in force, or 0 if there is none yet.
func (f *Follower) Version() config.Version {
	if s := f.current.Load(); s != nil {
		return s.Version
	}
	return 0
}

// Subscribe calls notify immediately for the configuration in force and then for
// every later one, in order. notify must not block or call the Follower.
func (f *Follower) Subscribe(notify func(*config.Snapshot)) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	f.subscribers = append(f.subscribers, notify)
	if s := f.current.Load(); s != nil {
		notify(s)
	}
}

// Fresh reports whether new work may be accepted at now. A router that is not
// Ready accepts none, as the others do not count it in a majority.
func (f *Follower) Fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.halted == nil && f.readyLocked() && f.fresh.Fresh(now)
}

// Status is the progress of a Follower, for gossip and for operators.
type Status struct {
	Version     config.Version
	Next        platformclient.Offset // offset of the next record to apply; 0: no starting point
	KnownEnd    platformclient.Offset // newest known end of the stream
	LogReadAt   time.Time             // when this router last read the end of the log
	ConfirmedAt time.Time             // see Freshness.Confirmed
	Halted      error                 // why records are no longer applied, or nil
	Missing     *Gap                  // records that are lost, or nil
}

// Gap is a range of records that expired before this router read them, without a
// later checkpoint that includes them. Their effect is unknown, so no later
// change can be decided until an operator restores a configuration.
type Gap struct {
	From platformclient.Offset `json:"from"` // first missing record
	To   platformclient.Offset `json:"to"`   // first record that the log still holds
}

// Status returns the progress of f.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statusLocked()
}

func (f *Follower) statusLocked() Status {
	s := Status{KnownEnd: f.knownEnd, LogReadAt: f.logReadAt, ConfirmedAt: f.fresh.Confirmed(), Halted: f.halted, Missing: f.missing}
	if f.fold != nil {
		s.Next = f.fold.Next()
		s.Version = f.fold.State().Version
	}
	s.KnownEnd = max(s.KnownEnd, s.Next)
	return s
}

// History returns the changes that are kept, oldest first.
func (f *Follower) History() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fold == nil {
		return nil
	}
	return f.fold.History()
}

// GossipUpdate is what gossip says about the config stream.
type GossipUpdate struct {
	End             platformclient.Offset // newest end known to the sender
	LogReadAt       time.Time             // latest read of the end of the log known to the sender; zero: none
	MajorityHeardAt time.Time             // time as of which there is gossip from a majority of the known routers; zero: none
}

// ObserveGossip processes an update from gossip. Times are on this router's clock.
func (f *Follower) ObserveGossip(u GossipUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knownEnd = max(f.knownEnd, u.End)
	next := f.nextLocked()
	if !u.LogReadAt.IsZero() {
		f.fresh.AddEvidence(u.LogReadAt, max(f.knownEnd, 1), next)
	}
	// A router that is not ready may lack records that an earlier incarnation of
	// it has acknowledged, so a majority that includes it is no evidence.
	if !u.MajorityHeardAt.IsZero() && f.readyLocked() {
		f.fresh.AddEvidence(u.MajorityHeardAt, max(f.knownEnd, 1), next)
	}
	if f.knownEnd > next {
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

// signalAdvanced reports progress to Options.OnProgress and to waiting submissions.
func (f *Follower) signalAdvanced() {
	if f.opt.OnProgress != nil {
		f.opt.OnProgress(f.statusLocked())
	}
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// publish makes state the configuration in force, unless its version is not
// newer than that of the current one.
func (f *Follower) publish(state config.State) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	current := f.current.Load()
	if current != nil {
		if current.Version == state.Version {
			return
		}
		rises := f.opt.Checker.Check(state.Version > current.Version, invariant.VersionNeverReverts, func() string {
			return versionRevertDetail(f.opt.Self.Name, current.Version, state.Version)
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
