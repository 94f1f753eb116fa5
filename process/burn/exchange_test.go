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

// site is a fleet under virtual time.
type site struct {
	now     time.Time
	random  *rand.Rand
	routers []*siteRouter
	sent    int // bytes
}

type siteRouter struct {
	member   member.Member
	recorder *Recorder
	keeper   *ReplicaStore
	exchange *Replicator
}

func (s *site) start(name string, boot uint64) *siteRouter {
	r := &siteRouter{member: member.Member{Name: name, Incarnation: boot}, recorder: NewRecorder(name, boot, "a", s.now), keeper: NewReplicaStore()}
	r.exchange = NewReplicator(r.recorder, r.keeper)
	return r
}

func (s *site) view() *member.View {
	var members []member.Member
	for _, r := range s.routers {
		members = append(members, r.member)
	}
	return member.NewView(members)
}

// deliver loses one message in ten and one acknowledgement in ten.
func (s *site) deliver(from *siteRouter, sends []Transfer, lossy bool) {
	for _, send := range sends {
		message := ToWire(send.Record)
		s.sent += proto.Size(message)
		if lossy && s.random.IntN(10) == 0 {
			continue
		}
		for _, to := range s.routers {
			if to.member.Name == send.To.Name {
				to.keeper.Merge(s.now, FromWire(message))
			}
		}
		if !lossy || s.random.IntN(10) > 0 {
			from.exchange.Acknowledge(send)
		}
	}
}

func (s *site) union() []Record {
	var lists [][]Record
	for _, r := range s.routers {
		records, _ := r.keeper.Records(s.now)
		lists = append(lists, records, []Record{r.recorder.Record(s.now, time.Time{})})
	}
	return MergeAll(lists...)
}

// Routers restart in turn for two hours; some crash. Orderly restarts lose
// nothing; a crash loses at most what was counted since the last record that a
// keeper got.
func TestRestartsLoseNothingAndCrashesLittle(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		s := &site{now: start, random: rand.New(rand.NewPCG(seed, 1))}
		for i := range 7 {
			s.routers = append(s.routers, s.start(fmt.Sprintf("entry-%d", i), 1))
		}
		counted, crashes, most := uint64(0), uint64(0), uint64(0)
		for second := range 2 * 60 * 60 {
			s.now = s.now.Add(time.Second)
			for _, r := range s.routers {
				r.recorder.Count(s.now, "booth-booking", InTime)
				counted++
				if sends := r.exchange.Due(s.now, s.view()); len(sends) > 0 {
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
				s.deliver(old, old.exchange.Final(s.now, s.view()), false)
			}
			s.routers[i] = s.start(old.member.Name, uint64(second))
		}
		got := total(s.union()).Requests()
		c.Check(got <= counted, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(counted-got <= most, qt.IsTrue, qt.Commentf("seed %d: %d of %d missing after %d crashes", seed, counted-got, counted, crashes))
		c.Check(minutes(s.union()).Requests(), qt.Equals, got, qt.Commentf("seed %d", seed))
		perSecond := float64(s.sent) / (2 * 60 * 60) / 7
		c.Check(perSecond < 100, qt.IsTrue, qt.Commentf("%.1f bytes a second and router", perSecond))
		t.Logf("seed %d: counted %d, missing %d after %d crashes, %.1f bytes a second and router", seed, counted, counted-got, crashes, perSecond)
	}
}

func TestWireKeepsTheRecord(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder("entry-1", 7, "xela-a", start)
	for i := range 10 {
		recorder.Count(start.Add(time.Duration(i)*time.Minute), "x", Result(i%int(resultCount)))
	}
	recorder.MarkFinal()
	record := recorder.Record(start.Add(time.Hour), start)
	c.Check(FromWire(ToWire(record)), qt.DeepEquals, record)
}
