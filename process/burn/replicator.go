package burn

import (
	"slices"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/member"
)

// maxHandovers bounds the handovers (records of routers that left the view) in one
// result of Due or FinalTransfers, to spread a change of many replicas over time.
const maxHandovers = 4

// Transfer is a record to be sent to a replica. When the replica acknowledges
// it, Acknowledge must be called.
type Transfer struct {
	To     member.Member
	Record Record
}

// Replicator decides which records are sent to which replicas: the router's own
// record, and those of routers that left the view when their replicas change. It
// is safe for concurrent use.
type Replicator struct {
	self     processKey
	recorder *Recorder
	store    *ReplicaStore

	mu      sync.Mutex
	acked   map[copyKey]time.Time // At of the record that was acknowledged last
	nextDue time.Time
}

// copyKey identifies the copy of a source's record at a replica.
type copyKey struct {
	source  processKey
	replica processKey
}

// NewReplicator returns the Replicator of the process that recorder counts for.
func NewReplicator(recorder *Recorder, store *ReplicaStore) *Replicator {
	return &Replicator{
		self:     processKey{recorder.record.Host, recorder.record.Incarnation},
		recorder: recorder,
		store:    store,
		acked:    make(map[copyKey]time.Time),
	}
}

// Due returns the records to send now. It may be called often, for example with
// each gossip message; it returns records once per ReplicationInterval.
func (x *Replicator) Due(now time.Time, view *member.View) []Transfer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Before(x.nextDue) {
		return nil
	}
	x.nextDue = now.Add(ReplicationInterval)
	x.dropDepartedReplicas(view)
	return append(x.own(now, view), x.handovers(now, view)...)
}

// FinalTransfers marks the recorder as final and returns the last records to send.
func (x *Replicator) FinalTransfers(now time.Time, view *member.View) []Transfer {
	x.recorder.MarkFinal()
	x.mu.Lock()
	defer x.mu.Unlock()
	return append(x.own(now, view), x.handovers(now, view)...)
}

// Acknowledge records that the replica has stored the transfer.
func (x *Replicator) Acknowledge(sent Transfer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.acked[copyKeyOf(sent.Record, sent.To)] = sent.Record.At
}

func copyKeyOf(record Record, to member.Member) copyKey {
	return copyKey{processKey{record.Host, record.Incarnation}, processKey{to.Name, to.Incarnation}}
}

// own returns the router's own record for each replica, with the minutes that
// the replica does not have yet.
func (x *Replicator) own(now time.Time, view *member.View) []Transfer {
	var transfers []Transfer
	for _, to := range ReplicasOf(view, x.self.host) {
		since := x.acked[copyKey{x.self, processKey{to.Name, to.Incarnation}}]
		transfers = append(transfers, Transfer{To: to, Record: x.recorder.Snapshot(now, since)})
	}
	return transfers
}

// handovers returns stored records of routers that left the view and that their
// current replicas may not have.
func (x *Replicator) handovers(now time.Time, view *member.View) []Transfer {
	var transfers []Transfer
	records, _ := x.store.Records(now)
	for _, record := range records {
		i := view.Index(record.Host)
		if i >= 0 && view.Members[i].Incarnation == record.Incarnation {
			continue
		}
		for _, to := range ReplicasOf(view, record.Host) {
			if to.Name == x.self.host || !x.acked[copyKeyOf(record, to)].Before(record.At) {
				continue
			}
			if len(transfers) == maxHandovers {
				return transfers
			}
			transfers = append(transfers, Transfer{To: to, Record: record})
		}
	}
	return transfers
}

// dropDepartedReplicas drops the acknowledgements of replicas that left the view.
func (x *Replicator) dropDepartedReplicas(view *member.View) {
	for r := range x.acked {
		live := slices.ContainsFunc(view.Members, func(m member.Member) bool {
			return m.Name == r.replica.host && m.Incarnation == r.replica.incarnation
		})
		if !live {
			delete(x.acked, r)
		}
	}
}
