package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// request is one request of a caller with all its attempts.
type request struct {
	generator *Generator
	addresses *addressCache
	kind      *Kind
	workspace Workspace
	id        string // the caller's own id of it, unique in the load
	chat      string
	place     string // place token
	continued bool   // not the first request of its chat
	key       string
	path      string
	body      []byte
	stream    bool
	expected  string // text of the complete response
	sent      time.Time
	deadline  time.Time
}

func (q *request) bodyReader() io.Reader {
	return bytes.NewReader(q.body)
}

// serve sends q until it is served, refused for good, or out of time.
func (q *request) serve(ctx context.Context, rng *rand.Rand) RequestRecord {
	q.sent = q.generator.clock.Now()
	q.deadline = q.sent.Add(q.kind.Deadline)
	var record RequestRecord
	if q.key != "" && rng.Float64() < q.kind.DuplicateShare {
		record = q.sendTwice(ctx)
	} else {
		record = q.sendWithRetries(ctx, 0)
	}
	q.generator.result.add(q, &record)
	return record
}

// sendTwice sends q to two entry hosts at the same time.
func (q *request) sendTwice(ctx context.Context) RequestRecord {
	var both [2]RequestRecord
	var wg conc.WaitGroup
	for i := range both {
		wg.Go(func() { both[i] = q.sendWithRetries(ctx, i) })
	}
	wg.Wait()
	record := mergeRecords(both[0], both[1])
	record.Attempts = both[0].Attempts + both[1].Attempts
	record.Duplicated = true
	return record
}

// sendWithRetries sends q, starting at entry host number first of the addresses.
func (q *request) sendWithRetries(ctx context.Context, first int) RequestRecord {
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(lateGrace))
	defer cancel()
	var record RequestRecord
	var t attempt
	for {
		t = q.attempt(ctx, first+record.Attempts, t.refusal.Address)
		record.count(&t)
		if t.end == endComplete || t.end == endWrong {
			record.finish(q, &t)
			return record
		}
		if record.Attempts >= q.generator.options.MaxAttempts || !q.mayRetry(&t) || !q.backOff(ctx, &t, record.Attempts) {
			record.finish(q, &t)
			return record
		}
	}
}

// lateGrace is how long a caller waits after its deadline, to distinguish a late
// response from none.
const lateGrace = 2 * time.Second

// attempt sends q once: to the entry host named by the last refusal, if any, or to
// host number n of the addresses.
func (q *request) attempt(ctx context.Context, n int, named string) attempt {
	if named != "" {
		return q.send(ctx, named)
	}
	host, err := q.addresses.address(ctx, n)
	if err != nil {
		return attempt{end: endUnreachable, detail: err.Error()}
	}
	t := q.send(ctx, host)
	if t.end == endUnreachable {
		q.addresses.failed(host)
	}
	return t
}

// mayRetry reports whether a caller retries after t.
func (q *request) mayRetry(t *attempt) bool {
	if !q.generator.clock.Now().Before(q.deadline) {
		return false
	}
	switch t.end {
	case endTimeout:
		return false
	case endRefused:
		return retryable(t)
	default:
		return true
	}
}

// retryable reports whether the same request may be served later.
func retryable(t *attempt) bool {
	switch {
	case t.refusal.Code == outcome.KeyInProgress:
		return true
	case t.refusal.Run == outcome.RunDone:
		return false
	case t.status == http.StatusTooManyRequests:
		return true
	default:
		return t.status >= http.StatusInternalServerError
	}
}

// longestBackoff bounds the pause that doubles with every attempt.
const longestBackoff = 5 * time.Second

// backOff waits before the next attempt: twice as long each time, and at least as
// long as the retry time of the refusal. It returns false if time runs out first.
func (q *request) backOff(ctx context.Context, t *attempt, tries int) bool {
	wait := min(q.generator.options.Backoff<<(tries-1), longestBackoff)
	if t.end == endRefused {
		wait = max(wait, time.Duration(t.refusal.RetryAfterMs)*time.Millisecond)
	}
	if !q.generator.clock.Now().Add(wait).Before(q.deadline) {
		return false
	}
	select {
	case <-q.generator.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
