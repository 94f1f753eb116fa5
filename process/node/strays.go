package node

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/stoatmount/stoatmount/request/placetoken"
)

// straysKept is the number of chats away from their place by rendezvous
// hashing that a router remembers having told the directory of.
const straysKept = 8192

// strays are chats of which the directory was told another place than the one
// by rendezvous hashing. The zero value is usable; mu is a leaf.
type strays struct {
	mu    sync.Mutex
	chats *simplelru.LRU[placetoken.Chat, struct{}]
}

func (s *strays) add(chat placetoken.Chat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chats == nil {
		s.chats, _ = simplelru.NewLRU[placetoken.Chat, struct{}](straysKept, nil)
	}
	s.chats.Add(chat, struct{}{})
}

// drop forgets chat and reports whether it was known.
func (s *strays) drop(chat placetoken.Chat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chats != nil && s.chats.Remove(chat)
}
