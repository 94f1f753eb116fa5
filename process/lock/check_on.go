//go:build lockcheck

package lock

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// heldLock is a lock held by a goroutine.
type heldLock struct {
	rank int
	name string
}

// byGoroutine holds the locks of each goroutine by goroutine number.
var byGoroutine sync.Map

// stackPrefixBytes is the length of a stack trace that includes the goroutine number.
const stackPrefixBytes = 64

// goroutine returns the number of the current goroutine.
func goroutine() uint64 {
	var buffer [stackPrefixBytes]byte
	fields := bytes.Fields(buffer[:runtime.Stack(buffer[:], false)])
	number, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		panic(err) // a trace begins with "goroutine N"
	}
	return number
}

// acquire panics if the goroutine holds a lock of the same or a higher rank.
func acquire(rank int, name string) {
	number := goroutine()
	found, _ := byGoroutine.Load(number)
	locks, _ := found.([]heldLock)
	for _, l := range locks {
		if l.rank >= rank {
			panic(fmt.Sprintf("lock order: %s is taken while %s is held", name, l.name))
		}
	}
	byGoroutine.Store(number, append(locks[:len(locks):len(locks)], heldLock{rank, name}))
}

// release removes the goroutine's first lock of that rank.
func release(rank int) {
	number := goroutine()
	found, _ := byGoroutine.Load(number)
	locks, _ := found.([]heldLock)
	for i := range locks {
		if locks[i].rank != rank {
			continue
		}
		if len(locks) == 1 {
			byGoroutine.Delete(number)
			return
		}
		byGoroutine.Store(number, append(locks[:i:i], locks[i+1:]...))
		return
	}
}
