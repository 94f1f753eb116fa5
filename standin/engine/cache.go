package engine

import (
	"container/list"
)

// prefixCache is an LRU cache of prefix lengths by session.
type prefixCache struct {
	limit   int // tokens
	used    int
	entries map[string]*list.Element
	order   *list.List // of cacheEntry; most recently used first
}

type cacheEntry struct {
	session string
	tokens  int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, entries: make(map[string]*list.Element), order: list.New()}
}

// get returns the cached length of session and marks it as used.
func (c *prefixCache) get(session string) int {
	element, ok := c.entries[session]
	if !ok {
		return 0
	}
	c.order.MoveToFront(element)
	return element.Value.(cacheEntry).tokens
}

// put stores a prefix and returns the sessions that were evicted for it. A
// prefix larger than the cache is not stored.
func (c *prefixCache) put(session string, tokens int) (stored bool, evicted []string) {
	c.drop(session)
	if session == "" || tokens > c.limit {
		return false, nil
	}
	c.entries[session] = c.order.PushFront(cacheEntry{session: session, tokens: tokens})
	c.used += tokens
	for c.used > c.limit {
		oldest := c.order.Back().Value.(cacheEntry)
		c.drop(oldest.session)
		evicted = append(evicted, oldest.session)
	}
	return true, evicted
}

func (c *prefixCache) drop(session string) {
	element, ok := c.entries[session]
	if !ok {
		return
	}
	c.used -= element.Value.(cacheEntry).tokens
	c.order.Remove(element)
	delete(c.entries, session)
}
