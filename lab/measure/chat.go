package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// chat is a conversation that returns.
type chat struct {
	key    placetoken.Chat
	space  int
	kind   *config.Kind
	length int    // tokens of its history: the reusable prefix
	token  string // the caller's place token
	turns  int    // left
}

// request is one request and what became of it.
type request struct {
	id       uint64
	space    int
	kind     *config.Kind
	chat     *chat // nil if it belongs to none
	prompt   int
	output   int
	sent     time.Time
	deadline time.Time
	router   int
	attempts int

	first time.Time // when it was dispatched first; zero before
}

// source makes requests. Two sources with the same seed make the same ones,
// whatever is done with them, apart from chats that return after their answer.
type source struct {
	rng     *rand.Rand
	traffic Traffic
	config  *config.Config
	live    []*config.Kind
	waits   []*config.Kind
	calls   []*config.Kind
	spread  []float64 // cumulative weight by workspace
	nextID  uint64
}

func newSource(seed uint64, w *Workload) *source {
	s := &source{rng: rand.New(rand.NewPCG(seed, 1)), traffic: w.Traffic, config: &w.State.Config}
	for i := range s.config.Kinds {
		k := &s.config.Kinds[i]
		switch {
		case k.Service != "":
			s.calls = append(s.calls, k)
		case k.CanWait:
			s.waits = append(s.waits, k)
		default:
			s.live = append(s.live, k)
		}
	}
	total := 0.0
	for _, weight := range weights(len(s.config.Workspaces)) {
		total += weight
		s.spread = append(s.spread, total)
	}
	return s
}

// space draws a workspace by weight.
func (s *source) space() int {
	x := s.rng.Float64() * s.spread[len(s.spread)-1]
	for i, edge := range s.spread {
		if x < edge {
			return i
		}
	}
	return len(s.spread) - 1
}

func (s *source) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *source) newChat(space int) *chat {
	s.nextID++
	return &chat{
		key:   placetoken.ChatOf(s.config.Workspaces[space].Name, "chat-"+strconv.FormatUint(s.nextID, 10)),
		space: space,
		kind:  s.live[s.rng.IntN(len(s.live))],
		turns: 1 + int(s.rng.ExpFloat64()*s.traffic.Turns),
	}
}

// turn returns the next request of c.
func (s *source) turn(now time.Time, c *chat) *request {
	c.turns--
	added := 100 + s.rng.IntN(300)
	if c.length == 0 {
		added = 800 + s.rng.IntN(1700)
	}
	r := s.request(now, c.space, c.kind, c.length+added, 40+s.rng.IntN(100))
	r.chat = c
	return r
}

func (s *source) wait(now time.Time) *request {
	return s.request(now, s.space(), s.waits[s.rng.IntN(len(s.waits))], 1000+s.rng.IntN(1000), 50)
}

func (s *source) call(now time.Time) *request {
	return s.request(now, s.space(), s.calls[s.rng.IntN(len(s.calls))], 0, 0)
}

func (s *source) request(now time.Time, space int, kind *config.Kind, prompt, output int) *request {
	s.nextID++
	return &request{
		id: s.nextID, space: space, kind: kind, prompt: prompt, output: output,
		sent: now, deadline: now.Add(kind.Deadline.Std()),
	}
}

// pause draws the time until a chat returns.
func (s *source) pause() time.Duration {
	if s.rng.IntN(longEvery) == 0 {
		return s.exponential(s.traffic.LongPause)
	}
	return s.exponential(s.traffic.Pause)
}
