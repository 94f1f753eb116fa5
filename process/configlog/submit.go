package configlog

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// majorityPause is the time between two queries of members that do not have a change yet.
	majorityPause = 50 * time.Millisecond
	// appendPause is the time between two attempts to append.
	appendPause = 200 * time.Millisecond
)

// Submit appends c and returns the decision on it. For an accepted change it
// returns only when a majority of the known routers of every region has it. The
// caller may set the ID of c, so that a retry submits the same change. Errors
// are of type *outcome.Refusal: with LogUnavailable the change is not in the
// log, with AcceptUnknown it may be in force.
func (f *Follower) Submit(ctx context.Context, c Change) (Decision, error) {
	s, err := f.BeginSubmission(c)
	if err != nil {
		return Decision{}, err
	}
	for {
		advanced := f.advancedChannel()
		s.Step(ctx)
		if s.Done() {
			return s.decision, s.err
		}
		select {
		case <-ctx.Done():
		case <-advanced:
		case <-f.opt.Clock.After(majorityPause):
		}
	}
}

func (f *Follower) advancedChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.advanced
}

// Submission is a change that is being submitted. Step makes progress on it. It
// is not safe for concurrent use.
type Submission struct {
	follower   *Follower
	change     Change
	data       []byte
	deadline   time.Time // when to stop appending and waiting for a majority
	nextTry    time.Time
	lastAppend time.Time // end of the last append that may have taken effect
	entry      *Entry    // decision on the change; nil: none yet
	confirmed  map[string]bool

	done     bool
	decision Decision
	err      error
}

// BeginSubmission prepares the submission of c. Errors are of type *outcome.Refusal.
func (f *Follower) BeginSubmission(c Change) (*Submission, error) {
	if c.ID == "" {
		c.ID = NewChangeID()
	}
	now := f.opt.Clock.Now()
	c.At = now.UTC()
	f.mu.Lock()
	c.ObservedEnd = f.nextLocked()
	known := f.fold != nil && f.halted == nil || c.Op == OpRestore
	missing := f.missing
	f.mu.Unlock()
	if missing != nil && c.Op != OpRestore {
		return nil, outcome.NotRun(outcome.RestoreNeeded, "records %d to %d of the configuration have expired", missing.From, missing.To-1)
	}
	if !known {
		return nil, outcome.NotRun(outcome.LogUnavailable, "this router has not read the configuration from the log")
	}
	data, err := encodeChange(c)
	if err != nil {
		return nil, outcome.NotRun(outcome.BadRequest, "%v", err)
	}
	return &Submission{
		follower: f, change: c, data: data, deadline: now.Add(f.opt.SubmitTimeout),
		confirmed: map[string]bool{f.opt.Self.Name: true},
	}, nil
}

// Done reports whether the submission has ended.
func (s *Submission) Done() bool { return s.done }

// Result returns the decision on the change, and an error if the decision is unknown or not
// confirmed by a majority. It is valid once the submission is done.
func (s *Submission) Result() (Decision, error) { return s.decision, s.err }

// Step makes as much progress as possible without a pause. Its requests to the log
// and to peers may block.
func (s *Submission) Step(ctx context.Context) {
	if s.done {
		return
	}
	if s.entry == nil && !s.resolve(ctx) {
		return
	}
	s.decision = s.entry.Decision
	if !s.decision.Accepted {
		s.done = true
		return
	}
	if s.follower.majorityHas(ctx, s.entry.Offset+1, s.confirmed) {
		s.done = true
		return
	}
	if s.timedOut(ctx) {
		s.fail(outcome.Unknown(outcome.AcceptUnknown, "version %d is in the log; a majority of the routers has not confirmed it yet", s.decision.Version))
	}
}

func (s *Submission) fail(err error) {
	s.done = true
	s.err = err
}

func (s *Submission) timedOut(ctx context.Context) bool {
	return ctx.Err() != nil || !s.follower.opt.Clock.Now().Before(s.deadline)
}

// resolve reports whether the change has been decided. Otherwise it appends the
// change. If an earlier append may have taken effect, it does so only after a
// read to the end of the log has not found the change.
func (s *Submission) resolve(ctx context.Context) bool {
	if s.lookUp() {
		return true
	}
	if s.timedOut(ctx) {
		s.fail(s.undecidedError())
		return false
	}
	f := s.follower
	if !s.lastAppend.IsZero() && !f.readSince(s.lastAppend) || f.opt.Clock.Now().Before(s.nextTry) {
		return false
	}
	if s.lookUp() { // a read may have ended since the first look-up
		return true
	}
	_, err := f.opt.Log.Append(ctx, platformclient.StreamConfig, [][]byte{s.data})
	now := f.opt.Clock.Now()
	if err == nil || platformclient.MayHaveAppended(err) {
		s.lastAppend = now
	}
	s.nextTry = now.Add(appendPause)
	return false
}

// lookUp reports whether the change has been decided.
func (s *Submission) lookUp() bool {
	entry, ok := s.follower.lookUpEntry(s.change.ID)
	if ok {
		s.entry = &entry
	}
	return ok
}

func (s *Submission) undecidedError() error {
	if !s.lastAppend.IsZero() {
		return outcome.Unknown(outcome.AcceptUnknown, "change %s may be in the log; it cannot be read back", s.change.ID)
	}
	return outcome.NotRun(outcome.LogUnavailable, "the log took no append; the change is not in force")
}

// lookUpEntry returns the entry of the change with the given ID, if it is decided.
func (f *Follower) lookUpEntry(id string) (Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fold == nil {
		return Entry{}, false
	}
	return f.fold.EntryOf(id)
}

// readSince reports whether a read that began after t reached the end of the log.
func (f *Follower) readSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logReadAt.After(t)
}
