package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/routing"
)

const (
	// maxOverlap bounds the time in which two endpoints work on one stream. Both count as at work after 400 ms, and a
	// process that gets a part of a processor acts late.
	maxOverlap = 320 * time.Millisecond
	// hostSilence is how long the host of a silent endpoint acknowledges nothing before it counts as out of reach.
	hostSilence = 1500 * time.Millisecond
)

var (
	// errTakenOver ends an attempt whose request another endpoint has taken over.
	errTakenOver = errors.New("no response in time; another endpoint has taken over")
	// errOutOfReach ends an attempt while its successor is in progress.
	errOutOfReach = errors.New("no response in time; the endpoint's host acknowledges nothing")
)

// takeover is a request at two endpoints: the first is silent, and a successor was asked. It is the only place that
// ends one of the two for the other. The first ends only when the successor has brought a response, or an
// event, that the request goes on with, or when its host is known to be out of reach; the successor ends when the first
// goes on, and at the end of the overlap.
//
// The job's goroutine goes on reading from the first, and a goroutine of the takeover sends to the successor. That one
// only reads the job, which the job's goroutine does not change before settle or nextSuccessor has joined it.
type takeover struct {
	j                *job
	first, successor *attempt
	result           atomic.Pointer[TakeoverResult] // nil while undecided
	outOfReach       atomic.Bool                    // the first's host is
	answered         atomic.Bool                    // the successor has a response, or has ended without one
	alone            atomic.Bool                    // the job's goroutine awaits done, and the successor's may use the job
	done             chan struct{}                  // closed when the successor's goroutine has ended

	mu         sync.Mutex
	firstEnded bool        // and its connection may serve another request
	overlap    *time.Timer // nil before the successor is connected
}

// decide sets the result unless it is set, and reports whether it did.
func (t *takeover) decide(r TakeoverResult) bool { return t.result.CompareAndSwap(nil, &r) }

// has reports whether the result is r.
func (t *takeover) has(r TakeoverResult) bool {
	got := t.result.Load()
	return got != nil && *got == r
}

// beginTakeover sends the request of an attempt to another endpoint as well, if there is one and the budget allows it.
func (j *job) beginTakeover(a *attempt) {
	if code, _ := j.checkQuarantine(); code != outcome.OK {
		return
	}
	if !j.s.RetryBudget.Allow(time.Now(), a.grant.Service) {
		return
	}
	g, refusal := j.acquire()
	if refusal != nil {
		return
	}
	ctx, cancel := context.WithCancel(j.requestCtx)
	b := j.newAttempt(ctx, g)
	t := &takeover{j: j, first: a, successor: b, done: make(chan struct{})}
	b.cancel, b.successorIn, j.takeover = cancel, t, t
	j.rec.Takeovers = append(j.rec.Takeovers, Takeover{First: a.grant.ID, Successor: g.ID, AfterMS: time.Since(j.rec.Arrived).Milliseconds()})
	go t.run()
}

// run sends the request to the successor and reads its response until it is better than to wait for the first, or failed.
func (t *takeover) run() {
	defer close(t.done)
	t.j.exchange(t.successor)
	if t.j.isAnswer(t.successor) {
		t.decide(TakeoverDone)
	}
	t.answered.Store(true)
	t.wakeFirst()
}

// wakeFirst makes the job's goroutine call onSilence, unless the first has ended.
func (t *takeover) wakeFirst() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.firstEnded {
		t.first.conn.Wake()
	}
}

// endFirst is called when the first attempt ends, or the takeover is over.
func (t *takeover) endFirst() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstEnded = true
	if t.overlap != nil {
		t.overlap.Stop()
	}
}

// isAnswer reads the response of a successor as far as the request goes on with it, and reports whether it does. A
// stream of which the caller has a part can only go on with another stream.
func (j *job) isAnswer(b *attempt) bool {
	switch {
	case b.err != nil, b.response.NotRun:
		return false
	case isEventStream(b.head):
		b.err = j.awaitEvent(b)
	case j.rec.HeadSent, isServerError(b.head.Status):
		return false
	default:
		_, b.err = j.readBody(b)
	}
	if b.err != nil {
		b.failure = j.classify(b, b.err)
		return false
	}
	return b.stream == nil || j.goesOnWith(b)
}

// awaitEvent reads a stream up to its first event or its end.
func (j *job) awaitEvent(b *attempt) error {
	err := j.openStream(b)
	for err == nil && b.stream.first() == nil && !b.stream.ended {
		err = b.stream.fill()
	}
	return err
}

// goesOnWith reports whether the caller's stream goes on, or ends, with what is read of an attempt's.
func (j *job) goesOnWith(b *attempt) bool {
	if event := b.stream.first(); event != nil {
		return j.checkEvent(b, parseBlock(event)) == nil
	}
	return b.stream.ended && (j.hasAllEvents() || j.ends+1 >= endsToConfirm)
}

// beginOverlap bounds the time for which both endpoints work on a stream. Other requests may stay at both.
func (t *takeover) beginOverlap() {
	if t.j.route.Kind != routing.Stream {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.firstEnded {
		t.overlap = time.AfterFunc(maxOverlap, t.endOverlap)
	}
}

// endOverlap ends the successor, which has shown nothing yet, unless the first endpoint is out of reach.
func (t *takeover) endOverlap() {
	t.mu.Lock()
	ended, out := t.firstEnded, t.first.conn.HostSilentFor(hostSilence) || t.j.s.Endpoints.DownSince(t.first.sentAt, t.first.grant)
	t.mu.Unlock()
	switch {
	case ended:
	case out:
		t.outOfReach.Store(true)
		t.wakeFirst()
	case t.decide(TakeoverTooSlow):
		t.successor.cancel()
	}
}

// await waits until the successor has a response or has failed. The first has ended, or waits for the successor's word.
func (t *takeover) await() {
	t.endFirst()
	t.alone.Store(true)
	<-t.done
}

// settle is called when an attempt has brought something that the request goes on with. It ends the successor, or returns
// errTakenOver if that one was first.
func (j *job) settle(a *attempt) error {
	t := j.takeover
	if t == nil || t.first != a {
		return nil
	}
	if t.decide(TakeoverNotNeeded) {
		t.successor.cancel()
	}
	<-t.done
	if t.has(TakeoverDone) {
		return errTakenOver
	}
	j.endSuccessor()
	return nil
}

// endSuccessor ends a successor that is done and of no use.
func (j *job) endSuccessor() {
	t, b := j.takeover, j.takeover.successor
	j.takeover = nil
	t.endFirst()
	j.collect(b)
	if b.err == nil {
		j.drain(b)
		switch {
		case b.response.NotRun:
		case isServerError(b.head.Status):
			b.failure = balance.ServerError
		default:
			b.failure = balance.Abandoned
		}
	}
	if b.run == outcome.RunNot && b.reached {
		j.refusals++
	}
	j.mayHaveRun = j.mayHaveRun || b.run != outcome.RunNot
	t.decide(TakeoverFailed)
	j.recordTakeover(t)
	j.endFailed(b)
	j.rec.LastGrant = *t.first.grant
}

// nextSuccessor returns the attempt that goes on after the last one has ended, or nil.
func (j *job) nextSuccessor() *attempt {
	t := j.takeover
	if t == nil {
		return nil
	}
	j.takeover = nil
	t.decide(TakeoverAlone) // unless the successor ended it
	t.await()
	j.recordTakeover(t)
	j.mayHaveRun = j.mayHaveRun || t.first.run != outcome.RunNot
	j.collect(t.successor)
	return t.successor
}

// nextSuccessorOf returns nextSuccessor unless the request has its final response, which a successor is not needed for.
func (j *job) nextSuccessorOf(final bool) *attempt {
	if t := j.takeover; final && t != nil {
		t.decide(TakeoverNotNeeded)
		t.successor.cancel()
		<-t.done
		j.endSuccessor()
	}
	return j.nextSuccessor()
}

// recordTakeover adds the end of the last takeover to the record.
func (j *job) recordTakeover(t *takeover) {
	r := &j.rec.Takeovers[len(j.rec.Takeovers)-1]
	r.Result, r.UntilMS = *t.result.Load(), time.Since(j.rec.Arrived).Milliseconds()
}
