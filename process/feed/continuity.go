package feed

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// maxTimerDelay is the most by which a deadline is noticed late in a process that runs.
	maxTimerDelay = 300 * time.Millisecond
	// maxUnobserved is how long a process may not run between two reads that still follow each other. The
	// log cannot have been away unnoticed for long enough to drop the entries of live endpoints.
	maxUnobserved = time.Second
)

// errStoodStill is the result of a read that failed because this process did not run. It says nothing about
// the log, but a second one in a row counts as a loss: a process that is always late must not hide one.
var errStoodStill = errors.New("this process stood still during the read")

// continuity tells which records were made while this process followed the log by its own reads. A
// removal among them is certain, whatever another reader could tell about it. Follower.mu guards it.
type continuity struct {
	stoodStill bool      // this process did not run for a while since its last successful read
	asReader   bool      // the last successful read was made for others too
	from       int64     // end of the topic at the last successful read
	readUntil  time.Time // end of the last successful read
	// doubtful holds removals at or after from that a reader relayed which may have missed an outage.
	doubtful []Record
}

// elapsed returns the time since began by the clock that advanced more: the steady clock does not count
// the time in which a host is suspended.
func elapsed(began time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(began), now.Round(0).Sub(began.Round(0)))
}

// hasGap reports whether the log may have been away, or was, since the last successful read. losses is the
// present number of losses of the log.
func (f *Follower) hasGap(losses int) bool {
	return f.unreachable || f.continuity.stoodStill || losses != f.lossesSeen
}

// checkPause records whether this process stood still in a pause that takes at most the given time.
func (f *Follower) checkPause(began time.Time, atMost time.Duration) {
	late := elapsed(began) - atMost
	if late <= maxUnobserved {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.continuity.stoodStill = true
	f.log.Info("stood still between reads", "late_ms", late.Milliseconds(), "next", f.next)
}

// maxPause returns the longest pause between two reads that follow each other.
func (f *Follower) maxPause() time.Duration {
	d := readerCheckInterval + maxUnobserved
	if f.cfg.MinInterval != nil {
		d += f.cfg.MinInterval()
	}
	return d
}

// doubt records the removals of a batch that another process read after a gap, so that the next read of
// this process tells whether they are certain. Only processes that read the log for others can tell. A long
// poll in progress goes on: it ends at once if the log was there all the time, and fails if it was not.
func (f *Follower) doubt(b Batch) {
	if !f.continuity.asReader || f.hasGap(f.reachability.lossCount()) {
		return
	}
	for _, r := range b.Records {
		if r.Value == nil && r.Offset >= f.continuity.from {
			f.continuity.doubtful = append(f.continuity.doubtful, r)
		}
	}
	if len(f.continuity.doubtful) > 0 {
		f.wake()
	}
}

// observe brings the continuity up to date with a successful read that began at the given time, and returns
// the doubtful removals that were made between it and the read before.
func (f *Follower) observe(b Batch, began time.Time) []Record {
	c := f.continuity
	follows := c.asReader && !b.Gap && !b.Snapshot && began.Sub(c.readUntil) <= f.maxPause()
	f.continuity = continuity{asReader: f.isReader(), from: b.Next, readUntil: time.Now()}
	var confirmed []Record
	for _, r := range c.doubtful {
		switch {
		case r.Offset >= b.Next && follows:
			f.continuity.doubtful = append(f.continuity.doubtful, r)
		case r.Offset >= c.from && follows && f.offsets[r.Key] == r.Offset:
			confirmed = append(confirmed, r)
		}
	}
	return confirmed
}

func (f *Follower) isReader() bool { return f.cfg.IsReader == nil || f.cfg.IsReader() }
