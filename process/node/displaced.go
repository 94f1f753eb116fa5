package node

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/stoatmount/stoatmount/request/placetoken"
)

// maxDisplaced is the maximum number of displaced chats that a router remembers
// having reported to the directory.
const maxDisplaced = 8192

// displacedChats are chats reported to the directory at an endpoint other than that
// from rendezvous hashing. The zero value is usable; mu is a leaf.
type displacedChats struct {
	mu    sync.Mutex
	chats *simplelru.LRU[placetoken.Chat, struct{}]
}

func (s *displacedChats) add(chat placetoken.Chat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chats == nil {
		s.chats, _ = simplelru.NewLRU[placetoken.Chat, struct{}](maxDisplaced, nil)
	}
	s.chats.Add(chat, struct{}{})
}

// remove removes chat and reports whether it was present.
func (s *displacedChats) remove(chat placetoken.Chat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chats != nil && s.chats.Remove(chat)
}
