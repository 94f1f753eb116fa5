package burn

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/member"
)

// Limits of replication.
const (
	// ReplicaCount is the number of other routers that store a router's record.
	ReplicaCount = 2
	// ReplicationInterval is the time between two records sent to the replicas. A
	// router that crashes loses the counts of at most this time, more if records are lost.
	ReplicationInterval = 30 * time.Second
	// maxRecords bounds the records in one ReplicaStore.
	maxRecords = 256
	// maxRecordAge is how long a record is kept after its process read its counters.
	maxRecordAge = 24 * time.Hour
)

// processKey identifies a router process.
type processKey struct {
	host        string
	incarnation uint64
}

// ReplicaStore stores the records of other routers, so that they survive those
// routers. It is safe for concurrent use.
type ReplicaStore struct {
	mu      sync.Mutex
	records map[processKey]Record
	dropped int
}

// NewReplicaStore returns an empty ReplicaStore.
func NewReplicaStore() *ReplicaStore {
	return &ReplicaStore{records: make(map[processKey]Record)}
}

// Merge merges record into the store.
func (s *ReplicaStore) Merge(now time.Time, record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := processKey{record.Host, record.Incarnation}
	if kept, ok := s.records[id]; ok {
		record = Merge(kept, record)
	}
	s.records[id] = trimMinutes(record, now)
	s.expire(now)
}

// trimMinutes returns record without the minutes that no window covers any more.
func trimMinutes(record Record, now time.Time) Record {
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

// expire drops records that are too old, and the oldest ones above maxRecords.
func (s *ReplicaStore) expire(now time.Time) {
	for id, record := range s.records {
		if now.Sub(record.At) > maxRecordAge {
			delete(s.records, id)
			s.dropped++
		}
	}
	for len(s.records) > maxRecords {
		oldest := s.sorted()[0]
		delete(s.records, processKey{oldest.Host, oldest.Incarnation})
		s.dropped++
	}
}

// sorted returns the records, oldest first.
func (s *ReplicaStore) sorted() []Record {
	records := make([]Record, 0, len(s.records))
	for _, record := range s.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return records
}

// Records returns the stored records, oldest first, and the number of records
// that were dropped since start because of maxRecordAge or maxRecords.
func (s *ReplicaStore) Records(now time.Time) (records []Record, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.sorted(), s.dropped
}

// ReplicasOf returns the members of view that store the record of the router called
// host: the ReplicaCount other members that rank first for it by rendezvous hashing.
func ReplicasOf(view *member.View, host string) []member.Member {
	rest := slices.DeleteFunc(slices.Clone(view.Members), func(m member.Member) bool { return m.Name == host })
	var replicas []member.Member
	for range ReplicaCount {
		replica, ok := member.NewView(rest).Owner(DutyBurn, host)
		if !ok {
			break
		}
		replicas = append(replicas, replica)
		rest = slices.DeleteFunc(rest, func(m member.Member) bool { return m.Name == replica.Name })
	}
	return replicas
}

// DutyBurn is the duty of storing the record of a router, keyed by host name.
const DutyBurn member.Duty = "burn"

// MergeAll merges lists of records into one record per process, sorted by host
// and incarnation.
func MergeAll(lists ...[]Record) []Record {
	byProcess := make(map[processKey]Record)
	for _, list := range lists {
		for _, record := range list {
			id := processKey{record.Host, record.Incarnation}
			if known, ok := byProcess[id]; ok {
				record = Merge(known, record)
			}
			byProcess[id] = record
		}
	}
	merged := make([]Record, 0, len(byProcess))
	for _, record := range byProcess {
		merged = append(merged, record)
	}
	slices.SortFunc(merged, func(a, b Record) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return merged
}
