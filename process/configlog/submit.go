package configlog

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// majorityPause is the time between two questions to members that do not
	// have a change yet.
	majorityPause = 50 * time.Millisecond
	// appendPause is the time between two tries to append.
	appendPause = 200 * time.Millisecond
)

// Submit appends c and returns how it was judged. For an accepted change it
// returns only when a majority of the known routers of every region has it.
// The id of c may be set by the caller, so that the same change can be
// submitted again. Errors are of type *outcome.Refusal: with LogUnavailable the
// change is not in the log, with AcceptUnknown it may be in force.
func (f *Follower) Submit(ctx context.Context, c Change) (Verdict, error) {
	s, err := f.BeginSubmission(c)
	if err != nil {
		return Verdict{}, err
	}
	for {
		advanced := f.progress()
		s.Step(ctx)
		if s.Done() {
			return s.verdict, s.err
		}
		select {
		case <-ctx.Done():
		case <-advanced:
		case <-f.opt.Clock.After(majorityPause):
		}
	}
}

func (f *Follower) progress() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.advanced
}

// Submission is a change on its way into force. Step moves it on; it is not
// safe for concurrent use.
type Submission struct {
	follower *Follower
	change   Change
	data     []byte
	giveUp   time.Time // end of the tries to append
	nextTry  time.Time
	tried    time.Time // end of the last append that may have taken effect
	entry    *Entry    // how the change was judged
	held     map[string]bool

	over    bool
	verdict Verdict
	err     error
}

// BeginSubmission prepares c to be submitted.
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
		follower: f, change: c, data: data, giveUp: now.Add(f.opt.SubmitTimeout),
		held: map[string]bool{f.opt.Self.Name: true},
	}, nil
}

// Done reports whether the submission has ended.
func (s *Submission) Done() bool { return s.over }

// Result returns how the change was judged, and a refusal if that is not known
// or not yet in force. It is valid once the submission is over.
func (s *Submission) Result() (Verdict, error) { return s.verdict, s.err }

// Step moves the submission on as far as it goes without waiting.
func (s *Submission) Step(ctx context.Context) {
	if s.over {
		return
	}
	if s.entry == nil && !s.judge(ctx) {
		return
	}
	s.verdict = s.entry.Verdict
	if !s.verdict.Accepted {
		s.over = true
		return
	}
	if s.follower.majorityHolds(ctx, s.entry.Offset+1, s.held) {
		s.over = true
		return
	}
	if s.late(ctx) {
		s.end(outcome.Unknown(outcome.AcceptUnknown, "version %d is in the log; a majority of the routers has not confirmed it yet", s.verdict.Version))
	}
}

func (s *Submission) end(err error) {
	s.over = true
	s.err = err
}

func (s *Submission) late(ctx context.Context) bool {
	return ctx.Err() != nil || !s.follower.opt.Clock.Now().Before(s.giveUp)
}

// judge reports whether the fold has judged the change. It appends the change,
// and again only after reading that it is not there.
func (s *Submission) judge(ctx context.Context) bool {
	if s.look() {
		return true
	}
	if s.late(ctx) {
		s.end(s.unjudged())
		return false
	}
	f := s.follower
	if !s.tried.IsZero() && !f.readSince(s.tried) || f.opt.Clock.Now().Before(s.nextTry) {
		return false
	}
	if s.look() {
		return true
	}
	_, err := f.opt.Log.Append(ctx, platformclient.StreamConfig, [][]byte{s.data})
	now := f.opt.Clock.Now()
	if err == nil || platformclient.MayHaveAppended(err) {
		s.tried = now
	}
	s.nextTry = now.Add(appendPause)
	return false
}

// look reports whether the change has been judged.
func (s *Submission) look() bool {
	entry, ok := s.follower.judged(s.change.ID)
	if ok {
		s.entry = &entry
	}
	return ok
}

func (s *Submission) unjudged() error {
	if !s.tried.IsZero() {
		return outcome.Unknown(outcome.AcceptUnknown, "change %s may be in the log; it cannot be read back", s.change.ID)
	}
	return outcome.NotRun(outcome.LogUnavailable, "the log took no append; the change is not in force")
}

// judged returns how the change with id was judged.
func (f *Follower) judged(id string) (Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fold == nil {
		return Entry{}, false
	}
	return f.fold.Verdict(id)
}

// readSince reports whether the log's end was read by a read that began after
// t.
func (f *Follower) readSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logEnd.After(t)
}
