package node

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/stoatmount/stoatmount/request/placetoken"
)

// maxOffDefaultChats bounds the off-default chats remembered as reported.
const maxOffDefaultChats = 8192

// offDefaultChats are chats reported to the directory at an endpoint other than their
// default endpoint. The zero value is usable; mu is a leaf.
type offDefaultChats struct {
	mu    sync.Mutex
	chats *simplelru.LRU[placetoken.Chat, struct{}]
}

func (d *offDefaultChats) add(chat placetoken.Chat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.chats == nil {
		d.chats, _ = simplelru.NewLRU[placetoken.Chat, struct{}](maxOffDefaultChats, nil)
	}
	d.chats.Add(chat, struct{}{})
}

// remove removes chat and reports whether it was present.
func (d *offDefaultChats) remove(chat placetoken.Chat) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chats != nil && d.chats.Remove(chat)
}
