package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// chat is a conversation of several requests.
type chat struct {
	key           placetoken.Chat
	workspace     int
	kind          *config.Kind
	historyTokens int    // the reusable prefix
	token         string // the caller's place token
	turnsLeft     int
}

// request is one request with its state.
type request struct {
	id        uint64
	workspace int
	kind      *config.Kind
	chat      *chat // nil without a chat
	prompt    int   // tokens
	output    int   // tokens
	sent      time.Time
	deadline  time.Time
	router    int
	attempts  int

	firstDispatch time.Time // zero before
}

// source generates requests. Those of one seed are the same for all policies until
// response times differ, since the pauses after responses draw from the same rng.
type source struct {
	rng               *rand.Rand
	traffic           Traffic
	config            *config.Config
	liveKinds         []*config.Kind
	deferrableKinds   []*config.Kind
	serviceKinds      []*config.Kind
	cumulativeWeights []float64 // cumulative weight by workspace
	nextID            uint64
}

func newSource(seed uint64, w *Workload) *source {
	s := &source{rng: rand.New(rand.NewPCG(seed, 1)), traffic: w.Traffic, config: &w.State.Config}
	for i := range s.config.Kinds {
		k := &s.config.Kinds[i]
		switch {
		case k.Service != "":
			s.serviceKinds = append(s.serviceKinds, k)
		case k.CanWait:
			s.deferrableKinds = append(s.deferrableKinds, k)
		default:
			s.liveKinds = append(s.liveKinds, k)
		}
	}
	total := 0.0
	for _, weight := range weights(len(s.config.Workspaces)) {
		total += weight
		s.cumulativeWeights = append(s.cumulativeWeights, total)
	}
	return s
}

// pickWorkspace returns a random workspace by weight.
func (s *source) pickWorkspace() int {
	x := s.rng.Float64() * s.cumulativeWeights[len(s.cumulativeWeights)-1]
	for i, bound := range s.cumulativeWeights {
		if x < bound {
			return i
		}
	}
	return len(s.cumulativeWeights) - 1
}

func (s *source) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *source) newChat(workspace int) *chat {
	s.nextID++
	return &chat{
		key:       placetoken.ChatOf(s.config.Workspaces[workspace].Name, "chat-"+strconv.FormatUint(s.nextID, 10)),
		workspace: workspace,
		kind:      s.liveKinds[s.rng.IntN(len(s.liveKinds))],
		turnsLeft: 1 + int(s.rng.ExpFloat64()*s.traffic.Turns),
	}
}

// nextRequest returns the next request of c.
func (s *source) nextRequest(now time.Time, c *chat) *request {
	c.turnsLeft--
	added := 100 + s.rng.IntN(300) // tokens
	if c.historyTokens == 0 {
		added = 800 + s.rng.IntN(1700)
	}
	r := s.request(now, c.workspace, c.kind, c.historyTokens+added, 40+s.rng.IntN(100))
	r.chat = c
	return r
}

func (s *source) deferrableRequest(now time.Time) *request {
	return s.request(now, s.pickWorkspace(), s.deferrableKinds[s.rng.IntN(len(s.deferrableKinds))], 1000+s.rng.IntN(1000), 50)
}

func (s *source) serviceCall(now time.Time) *request {
	return s.request(now, s.pickWorkspace(), s.serviceKinds[s.rng.IntN(len(s.serviceKinds))], 0, 0)
}

func (s *source) request(now time.Time, workspace int, kind *config.Kind, prompt, output int) *request {
	s.nextID++
	return &request{
		id: s.nextID, workspace: workspace, kind: kind, prompt: prompt, output: output,
		sent: now, deadline: now.Add(kind.Deadline.Std()),
	}
}

// pause returns a random time until the next request of a chat.
func (s *source) pause() time.Duration {
	if s.rng.IntN(longPauseEvery) == 0 {
		return s.exponential(s.traffic.LongPause)
	}
	return s.exponential(s.traffic.Pause)
}
