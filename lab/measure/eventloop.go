package measure

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// event is a function to call at a virtual time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// eventLoop runs events in the order of their virtual times.
type eventLoop struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

func newEventLoop() *eventLoop {
	return &eventLoop{now: epoch}
}

// after runs do once delay has passed.
func (l *eventLoop) after(delay time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(max(delay, 0)), seq: l.seq, do: do})
}

// every runs do each period until the run ends, first after one period.
func (l *eventLoop) every(period time.Duration, do func()) {
	l.after(period, func() {
		do()
		l.every(period, do)
	})
}

// run runs events until end.
func (l *eventLoop) run(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
	l.now = end
}
