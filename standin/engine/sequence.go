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

// sequence is one request that the engine computes. The engine's mutex guards
// it.
type sequence struct {
	id         string
	session    string
	user       string
	model      string
	priority   int
	arrival    uint64
	tokens     []string // the whole answer
	produced   int      // tokens computed so far
	prompt     int      // tokens of the prompt
	cached     int      // of these, found in the cache
	poison     bool
	state      state
	takenAt    time.Time
	readyAt    time.Time     // end of prefill
	changed    chan struct{} // closed at the next change
	watchers   int           // connections that wait for tokens
	leftAt     time.Time     // when the last watcher left
	finishedAt time.Time
}

func newSequence(id, session string, priority int, request *protocol.ChatRequest) *sequence {
	return &sequence{
		id:       id,
		session:  session,
		model:    request.Model,
		priority: priority,
		tokens:   answerTokens(request.Messages, request.MaxTokens),
		prompt:   PromptTokens(request.Messages),
		poison:   isPoison(request.Messages),
		changed:  make(chan struct{}),
	}
}

// notify wakes everybody who waits for a change of s.
func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// before orders the queue: larger priority first, then by arrival.
func (s *sequence) before(other *sequence) int {
	if s.priority != other.priority {
		return other.priority - s.priority
	}
	if s.arrival < other.arrival {
		return -1
	}
	return 1
}

// progress is what a connection sees of a sequence.
type progress struct {
	state   state
	tokens  []string // those that are new
	whole   bool     // no further token will come
	prompt  int
	cached  int
	changed <-chan struct{}
}

// progressFrom returns what is known of s from token offset on.
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
	p.whole = s.state == finished
	return p
}

// insertByPriority adds s to the queue at its place.
func insertByPriority(queue []*sequence, s *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(queue, s, func(a, b *sequence) int { return a.before(b) })
	return slices.Insert(queue, at, s)
}

func remove(list []*sequence, s *sequence) []*sequence {
	return slices.DeleteFunc(list, func(other *sequence) bool { return other == s })
}
