package measure

import (
	"testing"
	"time"

	"github.com/stoatmount/stoatmount/process/directory"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/request/queue"
	"github.com/stoatmount/stoatmount/version/config"
)

// BenchmarkDecision measures the decisions for one request of a returning chat at
// the planned size: verify the token, look the chat up among 20,000, select among
// the 26 endpoints of a model, queue at the owner and get the permit.
func BenchmarkDecision(b *testing.B) {
	benchmarkDecision(b, Scaled().State)
}

// BenchmarkDecisionOneGroup is BenchmarkDecision with all 640 endpoints serving
// one model.
func BenchmarkDecisionOneGroup(b *testing.B) {
	benchmarkDecision(b, deployment{zones: 5, models: 1, modelEndpoints: 640, serviceEndpoints: 1, workspaces: 230}.state())
}

func benchmarkDecision(b *testing.B, state config.State) {
	snapshot := config.NewSnapshot(state)
	selector := candidates.New(snapshot, candidates.NewHints())
	chats, err := directory.New(chatsPerRouter)
	if err != nil {
		b.Fatal(err)
	}
	signer, err := placetoken.NewSigner(time.Hour, make([]byte, placetoken.MinKeyBytes))
	if err != nil {
		b.Fatal(err)
	}
	kind := &state.Config.Kinds[0]
	tokens := make([]string, chatsPerRouter)
	for i := range tokens {
		chat := placetoken.Chat(i + 1)
		name := selector.DefaultEndpoint(kind.Group(), chat)
		chats.Put(epoch, chat, name, 1, 4000)
		tokens[i] = signer.Sign(chat, placetoken.Place{Endpoint: name, Incarnation: 1, Tokens: 4000, Issued: epoch})
	}
	waiting := queue.New(queue.DefaultBound)
	b.ReportAllocs()
	for b.Loop() {
		decide(b, selector, chats, signer, waiting, kind, tokens)
	}
}

var decisions int

func decide(b *testing.B, selector *candidates.Selector, chats *directory.Directory, signer *placetoken.Signer, waiting *queue.Queue, kind *config.Kind, tokens []string) {
	decisions++
	chat := placetoken.Chat(decisions%chatsPerRouter + 1)
	place, ok := signer.Verify(epoch, chat, tokens[chat-1])
	if !ok {
		b.Fatal("token refused")
	}
	entry, _ := chats.Get(chat)
	locations := [...]candidates.CacheLocation{
		{Endpoint: place.Endpoint, Incarnation: place.Incarnation, Tokens: place.Tokens, At: place.Issued, Reason: candidates.ReasonToken},
		{Endpoint: entry.Endpoint, Incarnation: entry.Incarnation, Tokens: entry.Tokens, At: entry.At, Reason: candidates.ReasonDirectory},
	}
	plan := selector.Select(epoch, &candidates.Input{
		Chat: chat, Kind: kind, Deadline: kind.Deadline.Std(), Prompt: 4200, TimeAfterPrefill: time.Second, CacheLocations: locations[:],
	})
	if len(plan.Candidates()) == 0 {
		b.Fatal("no candidate")
	}
	waiting.Push(epoch, queue.Item{ID: uint64(decisions), Workspace: "space-001", Kind: kind, Sent: epoch, Deadline: epoch.Add(kind.Deadline.Std())}, 8)
	item, ok := waiting.Pop(epoch, 0, 8)
	if !ok {
		b.Fatal("no permit")
	}
	waiting.Done(item.Workspace, time.Second)
}
