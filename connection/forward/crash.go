package forward

import (
	"time"

	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/balance"
)

// fingerprint identifies the request among those of other ids. Callers that try
// again send the same target and body with the same API key.
func (j *job) fingerprint() suspect.Fingerprint {
	if j.body == 0 {
		j.body = suspect.FingerprintOf(j.workspace, "", j.x.Head.Method+" "+j.x.Head.Target, j.x.Body)
	}
	return j.body
}

// checkQuarantine returns for how long the request is refused, because its body
// crashed endpoints.
func (j *job) checkQuarantine() time.Duration {
	if j.s.Quarantine.Empty() {
		return 0
	}
	var wait time.Duration
	j.sent, wait = j.s.Quarantine.Check(time.Now(), j.fingerprint())
	return wait
}

// recordCrash records a failed attempt whose endpoint went down with it.
func (j *job) recordCrash(a *attempt) {
	lost := a.failure == balance.Broken || a.failure == balance.TimedOut
	if a.reached && lost && j.ctx.Err() == nil && j.endpointDown(a) {
		j.s.Quarantine.Crashed(time.Now(), j.fingerprint(), j.sent)
	}
}

// endpointDown reports whether no connection to the endpoint can be opened any more.
// It tells a crash from a single connection that broke.
func (j *job) endpointDown(a *attempt) bool {
	if j.s.Endpoints.UnreachableSince(a.sentAt, a.grant) {
		return true
	}
	conn, err := j.s.Pool.Dial(j.ctx, a.grant.Addr, connectTimeout)
	now := time.Now()
	if j.ctx.Err() != nil {
		if err == nil {
			_ = conn.Close()
		}
		return false
	}
	if err != nil {
		j.s.Endpoints.RecordUnreachable(now, a.grant)
		j.s.Pool.CloseIdle(a.grant.Addr)
		return true
	}
	j.rec.Dials++
	j.s.Pool.Put(conn, now, 0, j.maxIdle(a.grant.Service))
	return false
}

// recordCompletion records that the request ran to its end.
func (j *job) recordCompletion(a *attempt) {
	if a.head.Status < 300 && !j.s.Quarantine.Empty() {
		j.s.Quarantine.Completed(time.Now(), j.fingerprint())
	}
}
