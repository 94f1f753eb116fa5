package burn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/process/member"
)

// testFleet is a fleet of routers under simulated time.
type testFleet struct {
	now       time.Time
	random    *rand.Rand
	routers   []*testRouter
	sentBytes int
}

type testRouter struct {
	member     member.Member
	recorder   *Recorder
	store      *ReplicaStore
	replicator *Replicator
}

func (f *testFleet) start(name string, incarnation uint64) *testRouter {
	r := &testRouter{member: member.Member{Name: name, Incarnation: incarnation}, recorder: NewRecorder(name, incarnation, "a", f.now), store: NewReplicaStore()}
	r.replicator = NewReplicator(r.recorder, r.store)
	return r
}

func (f *testFleet) view() *member.View {
	var members []member.Member
	for _, r := range f.routers {
		members = append(members, r.member)
	}
	return member.NewView(members)
}

// deliver delivers transfers. If lossy, it drops one message in ten and one
// acknowledgement in ten.
func (f *testFleet) deliver(from *testRouter, transfers []Transfer, lossy bool) {
	for _, transfer := range transfers {
		message := ToWire(transfer.Record)
		f.sentBytes += proto.Size(message)
		if lossy && f.random.IntN(10) == 0 {
			continue
		}
		for _, to := range f.routers {
			if to.member.Name == transfer.To.Name {
				to.store.Merge(f.now, FromWire(message))
			}
		}
		if !lossy || f.random.IntN(10) > 0 {
			from.replicator.Acknowledge(transfer)
		}
	}
}

func (f *testFleet) mergeAll() []Record {
	var lists [][]Record
	for _, r := range f.routers {
		records, _ := r.store.Records(f.now)
		lists = append(lists, records, []Record{r.recorder.Snapshot(f.now, time.Time{})})
	}
	return MergeAll(lists...)
}

// For two hours, one router restarts every five minutes, every third time by a
// crash. A clean restart loses no counts; a crash loses at most those since the
// last record that reached a replica.
func TestCleanRestartsLoseNoCountsAndCrashesFew(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		f := &testFleet{now: start, random: rand.New(rand.NewPCG(seed, 1))}
		for i := range 7 {
			f.routers = append(f.routers, f.start(fmt.Sprintf("entry-%d", i), 1))
		}
		counted, crashes, maxMissing := uint64(0), uint64(0), uint64(0)
		for second := range 2 * 60 * 60 {
			f.now = f.now.Add(time.Second)
			for _, r := range f.routers {
				r.recorder.Count(f.now, "booth-booking", InTime)
				counted++
				if transfers := r.replicator.Due(f.now, f.view()); len(transfers) > 0 {
					f.deliver(r, transfers, true)
				}
			}
			if second%300 != 299 { // a restart every 300 s
				continue
			}
			i := f.random.IntN(len(f.routers))
			old := f.routers[i]
			if second%900 == 899 { // a crash every 900 s
				crashes++
				maxMissing += 3 * uint64(ReplicationInterval/time.Second)
			} else {
				f.deliver(old, old.replicator.FinalTransfers(f.now, f.view()), false)
			}
			f.routers[i] = f.start(old.member.Name, uint64(second))
		}
		got := total(f.mergeAll()).Requests()
		c.Check(got <= counted, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(counted-got <= maxMissing, qt.IsTrue, qt.Commentf("seed %d: %d of %d missing after %d crashes", seed, counted-got, counted, crashes))
		c.Check(minuteSum(f.mergeAll()).Requests(), qt.Equals, got, qt.Commentf("seed %d", seed))
		perSecond := float64(f.sentBytes) / (2 * 60 * 60) / 7
		c.Check(perSecond < 100, qt.IsTrue, qt.Commentf("%.1f bytes per router and second", perSecond))
		t.Logf("seed %d: counted %d, missing %d after %d crashes, %.1f bytes per router and second", seed, counted, counted-got, crashes, perSecond)
	}
}

func TestRecordSurvivesEncoding(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder("entry-1", 7, "xela-a", start)
	for i := range 10 {
		recorder.Count(start.Add(time.Duration(i)*time.Minute), "x", Result(i%int(resultCount)))
	}
	recorder.MarkFinal()
	record := recorder.Snapshot(start.Add(time.Hour), start)
	c.Check(FromWire(ToWire(record)), qt.DeepEquals, record)
}
