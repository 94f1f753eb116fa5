package configlog

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/stoatmount/stoatmount/connection/platform"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// majorityPause is the time between two questions to members that do not
	// have a change yet.
	majorityPause = 50 * time.Millisecond
	// askTimeout bounds one round of questions, so that a silent member does
	// not hold up the others.
	askTimeout = 300 * time.Millisecond
	// askAtOnce is the number of members asked at the same time.
	askAtOnce = 64
	// appendPause is the time between two tries to append.
	appendPause = 200 * time.Millisecond
)

// Submit appends c and returns how it was judged. For an accepted change it
// returns only when a majority of the known routers of every region has it.
// The id of c may be set by the caller, so that the same change can be
// submitted again. Errors are of type *outcome.Refusal: with LogUnavailable the
// change is not in the log, with AcceptUnknown it may be in force.
func (f *Follower) Submit(ctx context.Context, c Change) (Verdict, error) {
	if c.ID == "" {
		c.ID = NewChangeID()
	}
	c.At = f.opt.Clock.Now().UTC()
	f.mu.Lock()
	c.Seen = f.nextLocked()
	known := f.fold != nil && f.halted == nil
	f.mu.Unlock()
	if !known {
		return Verdict{}, outcome.NotRun(outcome.LogUnavailable, "this router has not read the configuration from the log")
	}
	entry, err := f.judged(ctx, c)
	if err != nil || !entry.Verdict.Accepted {
		return entry.Verdict, err
	}
	return entry.Verdict, f.awaitMajority(ctx, entry.Offset+1)
}

// judged appends c, once or again after reading that it is not there, until
// the fold has judged it.
func (f *Follower) judged(ctx context.Context, c Change) (Entry, error) {
	data, err := encodeChange(c)
	if err != nil {
		return Entry{}, outcome.NotRun(outcome.BadRequest, "%v", err)
	}
	giveUp := f.opt.Clock.Now().Add(f.opt.Patience)
	mayBeIn := false
	for {
		if entry, ok := f.verdict(c.ID); ok {
			return entry, nil
		}
		if ctx.Err() != nil || !f.opt.Clock.Now().Before(giveUp) {
			return Entry{}, f.unjudged(mayBeIn, c.ID)
		}
		_, err := f.opt.Log.Append(ctx, platform.StreamConfig, [][]byte{data})
		tried := f.opt.Clock.Now()
		switch {
		case err == nil || platform.MayHaveAppended(err):
			mayBeIn = true
			if !f.awaitRead(ctx, c.ID, tried, giveUp) {
				return Entry{}, f.unjudged(mayBeIn, c.ID)
			}
		default:
			f.pause(ctx, appendPause)
		}
	}
}

func (f *Follower) unjudged(mayBeIn bool, id string) error {
	if mayBeIn {
		return outcome.Unknown(outcome.AcceptUnknown, "change %s may be in the log; it cannot be read back", id)
	}
	return outcome.NotRun(outcome.LogUnavailable, "the log took no append; the change is not in force")
}

func (f *Follower) verdict(id string) (Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fold == nil {
		return Entry{}, false
	}
	return f.fold.Verdict(id)
}

// awaitRead waits until the change with id was judged or the log's end was
// read by a read that began after the append at tried. It returns false if
// neither happens before giveUp.
func (f *Follower) awaitRead(ctx context.Context, id string, tried, giveUp time.Time) bool {
	for {
		f.mu.Lock()
		advanced := f.advanced
		read := f.logEnd.After(tried)
		judged := false
		if f.fold != nil {
			_, judged = f.fold.Verdict(id)
		}
		f.mu.Unlock()
		if judged || read {
			return true
		}
		left := giveUp.Sub(f.opt.Clock.Now())
		if left <= 0 {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-advanced:
		case <-f.opt.Clock.After(left):
		}
	}
}

// awaitMajority waits until a majority of the known routers of every region
// has all records before end.
func (f *Follower) awaitMajority(ctx context.Context, end platform.Offset) error {
	held := map[string]bool{f.opt.Self.Name: true}
	for {
		if f.majorityHolds(ctx, end, held) {
			return nil
		}
		if ctx.Err() != nil {
			return outcome.Unknown(outcome.AcceptUnknown, "version %d is in the log; a majority of the routers has not confirmed it yet", end-1)
		}
		f.pause(ctx, majorityPause)
	}
}

// majorityHolds asks the members that are not in held and adds those that hold
// all records before end.
func (f *Follower) majorityHolds(ctx context.Context, end platform.Offset, held map[string]bool) bool {
	members := []Member{f.opt.Self}
	if f.opt.Peers != nil {
		members = append(members, f.opt.Peers.Members()...)
	}
	f.askMembers(ctx, members, end, held)
	return Majority(members, held)
}

// Majority reports whether of every region more than half of the members are
// in held.
func Majority(members []Member, held map[string]bool) bool {
	balance := make(map[string]int)
	for _, m := range members {
		if held[m.Name] {
			balance[m.Region]++
		} else {
			balance[m.Region]--
		}
	}
	for _, b := range balance {
		if b <= 0 {
			return false
		}
	}
	return true
}

// askMembers asks all members that are not in held at once.
func (f *Follower) askMembers(ctx context.Context, members []Member, end platform.Offset, held map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var missing []string
	for _, m := range members {
		if !held[m.Name] {
			missing = append(missing, m.Name)
		}
	}
	mapper := iter.Mapper[string, platform.Offset]{MaxGoroutines: askAtOnce}
	ends := mapper.Map(missing, func(name *string) platform.Offset {
		page, err := f.opt.Peers.Pull(ctx, *name, end)
		if err != nil {
			return 0
		}
		return platform.Offset(page.GetEnd())
	})
	for i, name := range missing {
		if ends[i] >= end {
			held[name] = true
		}
	}
}
