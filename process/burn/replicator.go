package burn

import (
	"slices"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/member"
)

// maxHandovers bounds the records of routers that left the view in one result of
// Due, so that a change of many replicas is spread over time.
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
	self     processID
	recorder *Recorder
	store    *ReplicaStore

	mu    sync.Mutex
	acked map[replication]time.Time // At of the newest record that was acknowledged
	next  time.Time
}

// replication identifies the copy of a process's record at a replica.
type replication struct {
	source  processID
	replica processID
}

// NewReplicator returns the Replicator of the process that recorder counts for.
func NewReplicator(recorder *Recorder, store *ReplicaStore) *Replicator {
	return &Replicator{
		self:     processID{recorder.record.Host, recorder.record.Incarnation},
		recorder: recorder,
		store:    store,
		acked:    make(map[replication]time.Time),
	}
}

// Due returns the records to send now. It may be called often, for example with
// each gossip message; it returns records once per ReplicationInterval.
func (x *Replicator) Due(now time.Time, view *member.View) []Transfer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Before(x.next) {
		return nil
	}
	x.next = now.Add(ReplicationInterval)
	x.dropDepartedReplicas(view)
	return append(x.own(now, view), x.handovers(now, view)...)
}

// Final returns the last records of a process that shuts down orderly.
func (x *Replicator) Final(now time.Time, view *member.View) []Transfer {
	x.recorder.MarkFinal()
	x.mu.Lock()
	defer x.mu.Unlock()
	return append(x.own(now, view), x.handovers(now, view)...)
}

// Acknowledge records that the replica has stored the transfer.
func (x *Replicator) Acknowledge(sent Transfer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.acked[replicationOf(sent.Record, sent.To)] = sent.Record.At
}

func replicationOf(record Record, to member.Member) replication {
	return replication{processID{record.Host, record.Incarnation}, processID{to.Name, to.Incarnation}}
}

// own returns the router's own record for each replica, with the minutes that
// the replica does not have yet.
func (x *Replicator) own(now time.Time, view *member.View) []Transfer {
	var sends []Transfer
	for _, to := range ReplicasOf(view, x.self.host) {
		since := x.acked[replication{x.self, processID{to.Name, to.Incarnation}}]
		sends = append(sends, Transfer{To: to, Record: x.recorder.Record(now, since)})
	}
	return sends
}

// handovers returns stored records of routers that left the view and that their
// current replicas may not have.
func (x *Replicator) handovers(now time.Time, view *member.View) []Transfer {
	var sends []Transfer
	records, _ := x.store.Records(now)
	for _, record := range records {
		i := view.Index(record.Host)
		if i >= 0 && view.Members[i].Incarnation == record.Incarnation {
			continue
		}
		for _, to := range ReplicasOf(view, record.Host) {
			if to.Name == x.self.host || !x.acked[replicationOf(record, to)].Before(record.At) {
				continue
			}
			if len(sends) == maxHandovers {
				return sends
			}
			sends = append(sends, Transfer{To: to, Record: record})
		}
	}
	return sends
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
