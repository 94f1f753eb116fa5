package burn

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/member"
)

// Bounds of what is kept for other routers.
const (
	// ReplicaCount is the number of other routers that keep a router's record.
	ReplicaCount = 2
	// ReplicationInterval is the time between two records sent to the keepers. A
	// router that crashes loses the counts of at most this time.
	ReplicationInterval = 30 * time.Second
	// keptRecords bounds the records of one keeper.
	keptRecords = 256
	// keptAfter is how long the record of a silent router is kept.
	keptAfter = 24 * time.Hour
)

// process identifies a router process.
type process struct {
	host string
	boot uint64
}

// ReplicaStore keeps the records of other routers, so that they outlive them. It is
// safe for concurrent use.
type ReplicaStore struct {
	mu      sync.Mutex
	records map[process]Record
	dropped int
}

// NewReplicaStore returns an empty Keeper.
func NewReplicaStore() *ReplicaStore {
	return &ReplicaStore{records: make(map[process]Record)}
}

// Merge merges record into what is kept.
func (k *ReplicaStore) Merge(now time.Time, record Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := process{record.Host, record.Incarnation}
	if kept, ok := k.records[id]; ok {
		record = Merge(kept, record)
	}
	k.records[id] = trimmed(record, now)
	k.expire(now)
}

// trimmed returns record without the minutes that no window covers any more.
func trimmed(record Record, now time.Time) Record {
	oldest := MinuteOf(now) - keptMinutes + 1
	record.Kinds = slices.Clone(record.Kinds)
	for i := range record.Kinds {
		minutes := record.Kinds[i].Minutes
		first, _ := slices.BinarySearchFunc(minutes, oldest, func(m Minute, unix int64) int {
			return cmp.Compare(m.Unix, unix)
		})
		record.Kinds[i].Minutes = minutes[first:]
	}
	return record
}

// expire drops records that are too old, and the oldest if there are too many.
func (k *ReplicaStore) expire(now time.Time) {
	for id, record := range k.records {
		if now.Sub(record.At) > keptAfter {
			delete(k.records, id)
			k.dropped++
		}
	}
	for len(k.records) > keptRecords {
		oldest := k.sorted()[0]
		delete(k.records, process{oldest.Host, oldest.Incarnation})
		k.dropped++
	}
}

// sorted returns the records, oldest first.
func (k *ReplicaStore) sorted() []Record {
	records := make([]Record, 0, len(k.records))
	for _, record := range k.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return records
}

// Records returns what is kept, oldest first, and how many records were
// dropped since start for age or number.
func (k *ReplicaStore) Records(now time.Time) (records []Record, dropped int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	return k.sorted(), k.dropped
}

// ReplicasOf returns the members of view that keep the record of the router
// called host: those that would hold its key if it were not there itself.
func ReplicasOf(view *member.View, host string) []member.Member {
	rest := slices.DeleteFunc(slices.Clone(view.Members), func(m member.Member) bool { return m.Name == host })
	var keepers []member.Member
	for range ReplicaCount {
		keeper, ok := member.NewView(rest).Owner(DutyBurn, host)
		if !ok {
			break
		}
		keepers = append(keepers, keeper)
		rest = slices.DeleteFunc(rest, func(m member.Member) bool { return m.Name == keeper.Name })
	}
	return keepers
}

// DutyBurn is the duty of keeping the record of a router, by its host's name.
const DutyBurn member.Duty = "burn"

// MergeAll returns one record per process from the records of many routers,
// sorted by host and boot.
func MergeAll(lists ...[]Record) []Record {
	byProcess := make(map[process]Record)
	for _, list := range lists {
		for _, record := range list {
			id := process{record.Host, record.Incarnation}
			if known, ok := byProcess[id]; ok {
				record = Merge(known, record)
			}
			byProcess[id] = record
		}
	}
	union := make([]Record, 0, len(byProcess))
	for _, record := range byProcess {
		union = append(union, record)
	}
	slices.SortFunc(union, func(a, b Record) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return union
}
