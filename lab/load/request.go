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

// request is one request of a caller, over all its tries.
type request struct {
	generator *Generator
	route     *route
	kind      *Kind
	workspace Workspace
	name      string // the caller's own name for it, unique in the load
	chat      string
	place     string // place token
	returning bool   // not the first request of its chat
	key       string
	path      string
	body      []byte
	stream    bool
	expected  string // the text of the whole answer
	sent      time.Time
	deadline  time.Time
}

func (q *request) bodyReader() io.Reader {
	return bytes.NewReader(q.body)
}

// serve sends q until it is answered, refused for good, or out of time.
func (q *request) serve(ctx context.Context, rng *rand.Rand) RequestRecord {
	q.sent = q.generator.clock.Now()
	q.deadline = q.sent.Add(q.kind.Deadline)
	var j RequestRecord
	if q.key != "" && rng.Float64() < q.kind.DuplicateShare {
		j = q.serveTwice(ctx)
	} else {
		j = q.repeat(ctx, 0)
	}
	q.generator.result.add(q, &j)
	return j
}

// serveTwice sends q to two entry hosts at the same time.
func (q *request) serveTwice(ctx context.Context) RequestRecord {
	var both [2]RequestRecord
	var wg conc.WaitGroup
	for i := range both {
		wg.Go(func() { both[i] = q.repeat(ctx, i) })
	}
	wg.Wait()
	j := better(both[0], both[1])
	j.Tries = both[0].Tries + both[1].Tries
	j.Double = true
	return j
}

// repeat tries q, beginning with the entry host at place first of the route.
func (q *request) repeat(ctx context.Context, first int) RequestRecord {
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(lateGrace))
	defer cancel()
	var j RequestRecord
	var t try
	for {
		t = q.try(ctx, first+j.Tries, t.refusal.Address)
		j.count(&t)
		if t.end == endWhole || t.end == endWrong {
			j.finish(q, &t)
			return j
		}
		if j.Tries >= q.generator.options.MaxTries || !q.mayRepeat(&t) || !q.pause(ctx, &t, j.Tries) {
			j.finish(q, &t)
			return j
		}
	}
}

// lateGrace is how long after its deadline a caller still waits, so that a
// late answer can be told from none.
const lateGrace = 2 * time.Second

// try sends q once: to the entry host that the last refusal named, if any, or
// to the host at place n of the route.
func (q *request) try(ctx context.Context, n int, named string) try {
	if named != "" {
		return q.send(ctx, named)
	}
	host, err := q.route.address(ctx, n)
	if err != nil {
		return try{end: endUnreachable, detail: err.Error()}
	}
	t := q.send(ctx, host)
	if t.end == endUnreachable {
		q.route.failed(host)
	}
	return t
}

// mayRepeat reports whether a caller tries again after t.
func (q *request) mayRepeat(t *try) bool {
	if !q.generator.clock.Now().Before(q.deadline) {
		return false
	}
	switch t.end {
	case endTimeout:
		return false
	case endRefused:
		return repeatable(t)
	default:
		return true
	}
}

// repeatable reports whether the same request may be answered later.
func repeatable(t *try) bool {
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

// longestBackoff bounds the pause that doubles with every try.
const longestBackoff = 5 * time.Second

// pause waits before the next try: twice as long each time, and at least as
// long as the fleet asks for. It reports false if time runs out first.
func (q *request) pause(ctx context.Context, t *try, tries int) bool {
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
