package burn

import (
	"slices"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/member"
)

// handoversAtOnce bounds the records of routers that are gone that one call of
// Due sends on, so that a change of many keepers is spread over time.
const handoversAtOnce = 4

// Send is a record that is to be sent to a keeper. Its answer is an
// acknowledgement, on which Acked is to be called.
type Send struct {
	To     member.Member
	Record Record
}

// Exchange decides which records go to which keepers: the router's own, and
// those of routers that are gone when their keepers change. It is safe for
// concurrent use.
type Exchange struct {
	self     process
	recorder *Recorder
	keeper   *Keeper

	mu    sync.Mutex
	acked map[route]time.Time // At of the newest record that was acknowledged
	next  time.Time
}

// route is a record on its way to a keeper.
type route struct {
	record process
	keeper process
}

// NewExchange returns the Exchange of the process that recorder counts for.
func NewExchange(recorder *Recorder, keeper *Keeper) *Exchange {
	return &Exchange{
		self:     process{recorder.record.Host, recorder.record.Boot},
		recorder: recorder,
		keeper:   keeper,
		acked:    make(map[route]time.Time),
	}
}

// Due returns what is to be sent now. It is called often, for example with
// each gossip message, and returns something every DigestEvery.
func (x *Exchange) Due(now time.Time, view *member.View) []Send {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Before(x.next) {
		return nil
	}
	x.next = now.Add(DigestEvery)
	x.forget(view)
	return append(x.own(now, view), x.handovers(now, view)...)
}

// Last returns the last records of a process that ends in an orderly way.
func (x *Exchange) Last(now time.Time, view *member.View) []Send {
	x.recorder.End()
	x.mu.Lock()
	defer x.mu.Unlock()
	return append(x.own(now, view), x.handovers(now, view)...)
}

// Acked notes that the keeper has what was sent.
func (x *Exchange) Acked(sent Send) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.acked[routeOf(sent.Record, sent.To)] = sent.Record.At
}

func routeOf(record Record, to member.Member) route {
	return route{process{record.Host, record.Boot}, process{to.Name, to.Incarnation}}
}

// own returns the router's own record for each keeper, with the minutes that
// the keeper does not have yet.
func (x *Exchange) own(now time.Time, view *member.View) []Send {
	var sends []Send
	for _, to := range KeepersOf(view, x.self.host) {
		since := x.acked[route{x.self, process{to.Name, to.Incarnation}}]
		sends = append(sends, Send{To: to, Record: x.recorder.Record(now, since)})
	}
	return sends
}

// handovers returns kept records of routers that are gone which their keepers
// of now may not have.
func (x *Exchange) handovers(now time.Time, view *member.View) []Send {
	var sends []Send
	records, _ := x.keeper.Records(now)
	for _, record := range records {
		i := view.Index(record.Host)
		if i >= 0 && view.Members[i].Incarnation == record.Boot {
			continue
		}
		for _, to := range KeepersOf(view, record.Host) {
			if to.Name == x.self.host || !x.acked[routeOf(record, to)].Before(record.At) {
				continue
			}
			if len(sends) == handoversAtOnce {
				return sends
			}
			sends = append(sends, Send{To: to, Record: record})
		}
	}
	return sends
}

// forget drops what was noted of keepers that are gone.
func (x *Exchange) forget(view *member.View) {
	for r := range x.acked {
		live := slices.ContainsFunc(view.Members, func(m member.Member) bool {
			return m.Name == r.keeper.host && m.Incarnation == r.keeper.boot
		})
		if !live {
			delete(x.acked, r)
		}
	}
}
