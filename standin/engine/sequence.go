package engine

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
)

// state is the state of a sequence.
type state int

const (
	queued state = iota
	running
	finished
	cancelled
	lost // the engine crashed
)

// sequence is one request that the engine computes. It is guarded by the engine's mutex.
type sequence struct {
	id              string
	session         string
	callerRequestID string
	model           string
	priority        int
	arrival         uint64
	tokens          []string // of the complete response
	produced        int      // tokens computed so far
	prompt          int      // tokens of the prompt
	cached          int      // of these, cached
	crashes         bool
	state           state
	acceptedAt      time.Time
	readyAt         time.Time     // end of prefill
	changed         chan struct{} // closed at the next change
	connections     int           // connections waiting for tokens
	detachedAt      time.Time     // when the last connection detached
	finishedAt      time.Time
}

func newSequence(id, session string, priority int, request *protocol.ChatRequest) *sequence {
	return &sequence{
		id:       id,
		session:  session,
		model:    request.Model,
		priority: priority,
		tokens:   responseTokens(request.Messages, request.MaxTokens),
		prompt:   PromptTokens(request.Messages),
		crashes:  hasCrashMarker(request.Messages),
		changed:  make(chan struct{}),
	}
}

// notify wakes all goroutines that wait for a change of s.
func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compare orders the queue, as a cmp function: higher priority first, then by arrival.
func (s *sequence) compare(other *sequence) int {
	if s.priority != other.priority {
		return other.priority - s.priority
	}
	if s.arrival < other.arrival {
		return -1
	}
	return 1
}

// progress is the state of a sequence as sent to a connection.
type progress struct {
	state    state
	tokens   []string // new ones
	complete bool     // no further token will come
	prompt   int
	cached   int
	changed  <-chan struct{}
}

// progressFrom returns the progress of s, starting at token offset.
func (s *sequence) progressFrom(offset int) progress {
	p := progress{
		state:   s.state,
		prompt:  s.prompt,
		cached:  s.cached,
		changed: s.changed,
	}
	if offset < s.produced {
		p.tokens = s.tokens[offset:s.produced]
	}
	p.complete = s.state == finished
	return p
}

// insertByPriority inserts s into the queue.
func insertByPriority(queue []*sequence, s *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(queue, s, func(a, b *sequence) int { return a.compare(b) })
	return slices.Insert(queue, at, s)
}

func remove(list []*sequence, s *sequence) []*sequence {
	return slices.DeleteFunc(list, func(other *sequence) bool { return other == s })
}
