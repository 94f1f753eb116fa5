package suspect

import (
	"slices"
	"time"
)

// Verdict is what is known of a body.
type Verdict uint32

// The verdicts, as in peerpb.SuspectReply.
const (
	None      Verdict = iota
	Suspected         // it was running when an endpoint was lost
	Blocked           // it is refused for a while
)

const (
	// suspectFor is how long after a loss a body stays a suspect.
	suspectFor = 10 * time.Minute
	// convictFor is how long a body is refused that may still have one more
	// trial, and convictForLong one that has none left. Each new try renews
	// the time.
	convictFor     = 10 * time.Minute
	convictForLong = 24 * time.Hour
	// cleanRuns is the number of runs to the end after which copies of a body
	// may run anywhere.
	cleanRuns = 3
	// copyLease is how long copies count as running without a word from their
	// entries.
	copyLease = 2 * time.Minute
	// aloneRetry is when an entry asks again for a suspect that may not run
	// yet.
	aloneRetry = 100 * time.Millisecond
)

// loss is one endpoint that was lost while the body ran there.
type loss struct {
	endpoint string
	boot     uint64
}

// record is what a router knows of a body.
type record struct {
	losses    []loss
	lastLoss  time.Time
	convicted time.Time // refused until then
	clean     int       // runs to the end since the last loss
	trusted   bool      // it had run to its end often before the first loss

	// Only at the home:
	at     string // endpoint where copies run
	copies int
	alone  bool
	lease  time.Time // until when the copies count as running
}

// lose notes that the body was running when the endpoint was lost. It reports
// whether that was news.
func (r *record) lose(now time.Time, l loss) bool {
	r.lastLoss = now
	if slices.Contains(r.losses, l) {
		return false
	}
	if len(r.losses) == 0 {
		r.trusted = r.clean >= cleanRuns
	}
	r.losses = append(r.losses, l)
	r.clean = 0
	return true
}

// guilty reports whether the losses alone convict the body. A trusted one may
// have been running at many endpoints of a zone that was lost; only a loss
// while it runs alone convicts it.
func (r *record) guilty(limit int) bool {
	return len(r.losses) >= limit && !r.trusted
}

// convict refuses the body from now on.
func (r *record) convict(now time.Time, limit int) {
	period := convictFor
	if r.guilty(limit) {
		period = convictForLong
	}
	if until := now.Add(period); until.After(r.convicted) {
		r.convicted = until
	}
}

func (r *record) verdict(now time.Time, limit int) Verdict {
	switch {
	case now.Before(r.convicted):
		return Blocked
	case limit > 0 && r.guilty(limit):
		return Blocked
	case len(r.losses) > 0 && r.clean == 0:
		return Suspected
	default:
		return None
	}
}

// running reports whether copies run, as far as the home knows.
func (r *record) running(now time.Time) bool {
	return r.copies > 0 && now.Before(r.lease)
}

// start notes a copy that runs at endpoint.
func (r *record) start(now time.Time, endpoint string, alone bool) {
	if !r.running(now) {
		r.copies = 0
	}
	r.at = endpoint
	r.copies++
	r.alone = alone
	r.lease = now.Add(copyLease)
}

// stop notes that a copy at endpoint no longer runs.
func (r *record) stop(endpoint string) {
	if r.at != endpoint || r.copies == 0 {
		return
	}
	r.copies--
	if r.copies == 0 {
		r.alone = false
	}
}
