package suspect

import (
	"slices"
	"time"
)

// Verdict is the state of a body.
type Verdict uint32

// The verdicts, with the values of peerpb.SuspectReply.
const (
	None      Verdict = iota // not suspected
	Suspected                // an endpoint was lost while it ran there
	Blocked                  // refused for a while
)

const (
	// suspectFor is how long after a loss a body stays a suspect.
	suspectFor = 10 * time.Minute
	// blockFor is how long a body below the crash limit is refused; then it may run
	// alone once more. blockForLong is how long one that reached the limit is
	// refused. Each new request renews the time.
	blockFor     = 10 * time.Minute
	blockForLong = 24 * time.Hour
	// trustedRuns is the number of completed runs after which copies of a body
	// may run at any endpoint.
	trustedRuns = 3
	// copyLease is how long copies count as running without a message from
	// their entry hosts.
	copyLease = 2 * time.Minute
	// suspectRetry is the delay after which an entry host asks again for a
	// suspect that may not run yet.
	suspectRetry = 100 * time.Millisecond
)

// loss identifies an endpoint process that was lost while the body ran there.
type loss struct {
	endpoint    string
	incarnation uint64
}

// record is the state of a body on one router.
type record struct {
	losses            []loss
	lastLoss          time.Time
	blockedUntil      time.Time
	completedRuns     int  // since the last loss
	trustedBeforeLoss bool // it had completed trustedRuns times before the first loss

	// Used only at the home and, as its standby, at the next home:
	endpoint string // where copies run
	copies   int
	alone    bool
	leaseEnd time.Time // end of the time for which the copies count as running
}

// addLoss records that the body ran at an endpoint that was lost. It returns false
// if the loss was known already.
func (r *record) addLoss(now time.Time, l loss) bool {
	r.lastLoss = now
	if slices.Contains(r.losses, l) {
		return false
	}
	if len(r.losses) == 0 {
		r.trustedBeforeLoss = r.completedRuns >= trustedRuns
	}
	r.losses = append(r.losses, l)
	r.completedRuns = 0
	return true
}

// blockedByLosses reports whether the number of losses by itself blocks the body. A body
// trusted before them may have been running at many endpoints of a zone that was lost;
// only a loss while it runs alone blocks it.
func (r *record) blockedByLosses(limit int) bool {
	return len(r.losses) >= limit && !r.trustedBeforeLoss
}

// block refuses the body for blockFor or, if blockedByLosses, for blockForLong.
func (r *record) block(now time.Time, limit int) {
	period := blockFor
	if r.blockedByLosses(limit) {
		period = blockForLong
	}
	if until := now.Add(period); until.After(r.blockedUntil) {
		r.blockedUntil = until
	}
}

func (r *record) verdict(now time.Time, limit int) Verdict {
	switch {
	case now.Before(r.blockedUntil):
		return Blocked
	case limit > 0 && r.blockedByLosses(limit):
		return Blocked
	case len(r.losses) > 0 && r.completedRuns == 0:
		return Suspected
	default:
		return None
	}
}

// running reports whether copies run, as far as the home knows.
func (r *record) running(now time.Time) bool {
	return r.copies > 0 && now.Before(r.leaseEnd)
}

// start records a copy that runs at endpoint. Copies whose lease ended are dropped.
func (r *record) start(now time.Time, endpoint string, alone bool) {
	if !r.running(now) {
		r.copies = 0
	}
	r.endpoint = endpoint
	r.copies++
	r.alone = alone
	r.leaseEnd = now.Add(copyLease)
}

// stop records that a copy at endpoint no longer runs.
func (r *record) stop(endpoint string) {
	if r.endpoint != endpoint || r.copies == 0 {
		return
	}
	r.copies--
	if r.copies == 0 {
		r.alone = false
	}
}
