//go:build lockcheck

package lock

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// held is a lock that a goroutine holds.
type held struct {
	place int
	name  string
}

// byGoroutine holds the locks of each goroutine, by its number.
var byGoroutine sync.Map

// stackStart is enough of a stack trace for the goroutine's number.
const stackStart = 64

// goroutine returns the number of the running goroutine.
func goroutine() uint64 {
	var buffer [stackStart]byte
	fields := bytes.Fields(buffer[:runtime.Stack(buffer[:], false)])
	number, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		panic(err) // a trace begins with "goroutine N"
	}
	return number
}

// acquire panics if the goroutine holds a lock of the same or a higher place.
func acquire(place int, name string) {
	number := goroutine()
	found, _ := byGoroutine.Load(number)
	locks, _ := found.([]held)
	for _, l := range locks {
		if l.place >= place {
			panic(fmt.Sprintf("lock order: %s is taken while %s is held", name, l.name))
		}
	}
	byGoroutine.Store(number, append(locks[:len(locks):len(locks)], held{place, name}))
}

func release(place int) {
	number := goroutine()
	found, _ := byGoroutine.Load(number)
	locks, _ := found.([]held)
	for i := range locks {
		if locks[i].place != place {
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
