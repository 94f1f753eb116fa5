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

// Transfer is a record that is to be sent to a keeper. Its answer is an
// acknowledgement, on which Acked is to be called.
type Transfer struct {
	To     member.Member
	Record Record
}

// Replicator decides which records go to which keepers: the router's own, and
// those of routers that are gone when their keepers change. It is safe for
// concurrent use.
type Replicator struct {
	self     process
	recorder *Recorder
	keeper   *ReplicaStore

	mu    sync.Mutex
	acked map[route]time.Time // At of the newest record that was acknowledged
	next  time.Time
}

// route is a record on its way to a keeper.
type route struct {
	record process
	keeper process
}

// NewReplicator returns the Exchange of the process that recorder counts for.
func NewReplicator(recorder *Recorder, keeper *ReplicaStore) *Replicator {
	return &Replicator{
		self:     process{recorder.record.Host, recorder.record.Incarnation},
		recorder: recorder,
		keeper:   keeper,
		acked:    make(map[route]time.Time),
	}
}

// Due returns what is to be sent now. It is called often, for example with
// each gossip message, and returns something every DigestEvery.
func (x *Replicator) Due(now time.Time, view *member.View) []Transfer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Before(x.next) {
		return nil
	}
	x.next = now.Add(ReplicationInterval)
	x.forget(view)
	return append(x.own(now, view), x.handovers(now, view)...)
}

// Final returns the last records of a process that ends in an orderly way.
func (x *Replicator) Final(now time.Time, view *member.View) []Transfer {
	x.recorder.MarkFinal()
	x.mu.Lock()
	defer x.mu.Unlock()
	return append(x.own(now, view), x.handovers(now, view)...)
}

// Acknowledge notes that the keeper has what was sent.
func (x *Replicator) Acknowledge(sent Transfer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.acked[routeOf(sent.Record, sent.To)] = sent.Record.At
}

func routeOf(record Record, to member.Member) route {
	return route{process{record.Host, record.Incarnation}, process{to.Name, to.Incarnation}}
}

// own returns the router's own record for each keeper, with the minutes that
// the keeper does not have yet.
func (x *Replicator) own(now time.Time, view *member.View) []Transfer {
	var sends []Transfer
	for _, to := range ReplicasOf(view, x.self.host) {
		since := x.acked[route{x.self, process{to.Name, to.Incarnation}}]
		sends = append(sends, Transfer{To: to, Record: x.recorder.Record(now, since)})
	}
	return sends
}

// handovers returns kept records of routers that are gone which their keepers
// of now may not have.
func (x *Replicator) handovers(now time.Time, view *member.View) []Transfer {
	var sends []Transfer
	records, _ := x.keeper.Records(now)
	for _, record := range records {
		i := view.Index(record.Host)
		if i >= 0 && view.Members[i].Incarnation == record.Incarnation {
			continue
		}
		for _, to := range ReplicasOf(view, record.Host) {
			if to.Name == x.self.host || !x.acked[routeOf(record, to)].Before(record.At) {
				continue
			}
			if len(sends) == handoversAtOnce {
				return sends
			}
			sends = append(sends, Transfer{To: to, Record: record})
		}
	}
	return sends
}

// forget drops what was noted of keepers that are gone.
func (x *Replicator) forget(view *member.View) {
	for r := range x.acked {
		live := slices.ContainsFunc(view.Members, func(m member.Member) bool {
			return m.Name == r.keeper.host && m.Incarnation == r.keeper.boot
		})
		if !live {
			delete(x.acked, r)
		}
	}
}
