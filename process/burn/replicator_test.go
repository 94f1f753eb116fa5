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
	now     time.Time
	random  *rand.Rand
	routers []*testRouter
	sent    int // bytes
}

type testRouter struct {
	member     member.Member
	recorder   *Recorder
	store      *ReplicaStore
	replicator *Replicator
}

func (s *testFleet) start(name string, incarnation uint64) *testRouter {
	r := &testRouter{member: member.Member{Name: name, Incarnation: incarnation}, recorder: NewRecorder(name, incarnation, "a", s.now), store: NewReplicaStore()}
	r.replicator = NewReplicator(r.recorder, r.store)
	return r
}

func (s *testFleet) view() *member.View {
	var members []member.Member
	for _, r := range s.routers {
		members = append(members, r.member)
	}
	return member.NewView(members)
}

// deliver sends transfers. If lossy, it drops one message in ten and one
// acknowledgement in ten.
func (s *testFleet) deliver(from *testRouter, sends []Transfer, lossy bool) {
	for _, send := range sends {
		message := ToWire(send.Record)
		s.sent += proto.Size(message)
		if lossy && s.random.IntN(10) == 0 {
			continue
		}
		for _, to := range s.routers {
			if to.member.Name == send.To.Name {
				to.store.Merge(s.now, FromWire(message))
			}
		}
		if !lossy || s.random.IntN(10) > 0 {
			from.replicator.Acknowledge(send)
		}
	}
}

func (s *testFleet) mergeAll() []Record {
	var lists [][]Record
	for _, r := range s.routers {
		records, _ := r.store.Records(s.now)
		lists = append(lists, records, []Record{r.recorder.Record(s.now, time.Time{})})
	}
	return MergeAll(lists...)
}

// Routers restart for two hours, a third of them by a crash. An orderly restart
// loses no counts; a crash loses at most those since the last record that
// reached a replica.
func TestRestartsLoseNothingAndCrashesLittle(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		s := &testFleet{now: start, random: rand.New(rand.NewPCG(seed, 1))}
		for i := range 7 {
			s.routers = append(s.routers, s.start(fmt.Sprintf("entry-%d", i), 1))
		}
		counted, crashes, most := uint64(0), uint64(0), uint64(0)
		for second := range 2 * 60 * 60 {
			s.now = s.now.Add(time.Second)
			for _, r := range s.routers {
				r.recorder.Count(s.now, "booth-booking", InTime)
				counted++
				if sends := r.replicator.Due(s.now, s.view()); len(sends) > 0 {
					s.deliver(r, sends, true)
				}
			}
			if second%300 != 299 {
				continue
			}
			i := s.random.IntN(len(s.routers))
			old := s.routers[i]
			if second%900 == 899 {
				crashes++
				most += 3 * uint64(ReplicationInterval/time.Second)
			} else {
				s.deliver(old, old.replicator.Final(s.now, s.view()), false)
			}
			s.routers[i] = s.start(old.member.Name, uint64(second))
		}
		got := total(s.mergeAll()).Requests()
		c.Check(got <= counted, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(counted-got <= most, qt.IsTrue, qt.Commentf("seed %d: %d of %d missing after %d crashes", seed, counted-got, counted, crashes))
		c.Check(minutes(s.mergeAll()).Requests(), qt.Equals, got, qt.Commentf("seed %d", seed))
		perSecond := float64(s.sent) / (2 * 60 * 60) / 7
		c.Check(perSecond < 100, qt.IsTrue, qt.Commentf("%.1f bytes a second and router", perSecond))
		t.Logf("seed %d: counted %d, missing %d after %d crashes, %.1f bytes a second and router", seed, counted, counted-got, crashes, perSecond)
	}
}

func TestRecordSurvivesEncoding(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder("entry-1", 7, "xela-a", start)
	for i := range 10 {
		recorder.Count(start.Add(time.Duration(i)*time.Minute), "x", Result(i%int(resultCount)))
	}
	recorder.MarkFinal()
	record := recorder.Record(start.Add(time.Hour), start)
	c.Check(FromWire(ToWire(record)), qt.DeepEquals, record)
}
