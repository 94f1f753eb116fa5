package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/directory"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// seed is the seed of all probes.
const seed = 1

// command regenerates the measurements.
const command = "stoatctl capacity --measure"

// Probes returns the measurements that need no other process or connection.
func Probes() []func() Measurement {
	return []func() Measurement{
		measureMembership, measureOwnership, measureAdmission, measureDirectory,
		measureLedger, measureConfiguration, measureReconciler, measureCounters,
	}
}

func newMeasurement(name string) Measurement {
	return Measurement{Name: name, Command: command, Seed: seed}
}

// add adds a series with the value of measure at each size.
func (m *Measurement) add(name, unit, per string, sizes []int, measure func(size int) float64) {
	s := Series{Name: name, Unit: unit, Per: per}
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: float64(size), Value: measure(size)})
	}
	m.Series = append(m.Series, s)
}

// wireSize returns the size of a message between routers with framing.
func wireSize(message proto.Message) int {
	return proto.Size(message) + sim.FrameBytes
}

// measureMembership measures the membership tables of whole fleets under a virtual clock.
func measureMembership() Measurement {
	m := newMeasurement("membership")
	sizes := []int{7, 30, 100, 200, 330}
	settle, span := 20*time.Second, 40*time.Second
	type figures struct{ bytes, messages, cpuMicros, heap float64 }
	measured := make(map[int]figures)
	for _, n := range sizes {
		var fleet *sim.Fleet
		kept := heapOf(func() any {
			fleet = sim.New(n, member.DefaultConfig(), seed)
			fleet.Run(settle)
			return fleet
		})
		bytesBefore, messagesBefore := sent(fleet)
		used := cpuTime(func() { fleet.Run(span) })
		bytes, messages := sent(fleet)
		routerSeconds := float64(n) * span.Seconds()
		measured[n] = figures{
			bytes:     (bytes - bytesBefore) / routerSeconds,
			messages:  (messages - messagesBefore) / routerSeconds,
			cpuMicros: used.Seconds() / routerSeconds * 1e6,
			heap:      kept / float64(n),
		}
	}
	m.add("sent_bytes_per_second", "B/s", "routers", sizes, func(n int) float64 { return measured[n].bytes })
	m.add("sent_messages_per_second", "messages/s", "routers", sizes, func(n int) float64 { return measured[n].messages })
	m.add("processor_per_second", "µs/s", "routers", sizes, func(n int) float64 { return measured[n].cpuMicros })
	m.add("table_bytes", "B", "routers", sizes, func(n int) float64 { return measured[n].heap })
	return m
}

func sent(fleet *sim.Fleet) (bytes, messages float64) {
	for _, r := range fleet.Routers {
		bytes += float64(r.SentBytes)
		messages += float64(r.SentMessages)
	}
	return bytes, messages
}

func viewOf(n int) *member.View {
	members := make([]member.Member, n)
	for i := range members {
		members[i] = member.Member{Name: fmt.Sprintf("host-%03d", i), Incarnation: uint64(i + 1), Region: "r", Zone: "a"}
	}
	return member.NewView(members)
}

// measureOwnership measures the CPU time of one lookup of an owner.
func measureOwnership() Measurement {
	m := newMeasurement("ownership")
	const lookups = 20_000
	m.add("processor_per_question", "µs", "routers", []int{7, 30, 100, 200, 330}, func(n int) float64 {
		view := viewOf(n)
		used := cpuTime(func() {
			for i := range lookups {
				view.Owner(member.DutyChatHome, fmt.Sprint(i))
			}
		})
		return used.Seconds() / lookups * 1e6
	})
	return m
}

// measureDirectory measures the directory of a home of chats.
func measureDirectory() Measurement {
	m := newMeasurement("directory")
	sizes := []int{1_000, 4_000, 16_000}
	m.add("table_bytes", "B", "chats", sizes, func(n int) float64 {
		return heapOf(func() any { return filledDirectory(n) })
	})
	m.add("place_message_bytes", "B", "questions", []int{1}, func(int) float64 { return placeBytes() })
	m.add("processor_per_change", "µs", "chats", sizes, func(n int) float64 {
		chats := filledDirectory(n)
		rng := rand.New(rand.NewPCG(seed, 2))
		const changes = 50_000
		used := cpuTime(func() {
			for range changes {
				chat := placetoken.Chat(rng.IntN(n) + 1)
				chats.Put(sim.Epoch, chat, "endpoint-1", 1, 2000)
				chats.Get(chat)
			}
		})
		return used.Seconds() / changes * 1e6
	})
	return m
}

// placeBytes returns the bytes of a query for the place of a chat, its reply and
// an update of the place.
func placeBytes() float64 {
	query := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_PlaceQuery{PlaceQuery: &peerpb.PlaceQuery{Chat: 1 << 60}}}}}
	reply := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_PlaceReply{PlaceReply: &peerpb.PlaceReply{
		Found: true, Endpoint: "endpoint-123", Boot: 1 << 60, Tokens: 4000, AgeMs: 100_000,
	}}}}}
	update := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Body: &peerpb.Envelope_PlaceUpdate{PlaceUpdate: &peerpb.PlaceUpdate{
		Chat: 1 << 60, Endpoint: "endpoint-123", Boot: 1 << 60, Tokens: 4000,
	}}}}}
	return float64(wireSize(query) + wireSize(reply) + wireSize(update))
}

func filledDirectory(n int) *directory.Directory {
	// The capacity is above 0, the only thing that New checks.
	chats, _ := directory.New(n)
	for i := range n {
		chats.Put(sim.Epoch, placetoken.Chat(i+1), fmt.Sprintf("endpoint-%d", i%28), 1, 1000)
	}
	return chats
}

// configOf returns a configuration with n endpoints in five zones, and a model
// with three kinds for every 28 endpoints.
func configOf(n int) config.Config {
	var c config.Config
	for i := range 5 {
		c.Zones = append(c.Zones, config.Zone{Name: fmt.Sprintf("zone-%d", i), Region: "r"})
	}
	const perModel, kindsPerModel = 28, 3
	for i := range max(1, n/perModel) {
		model := fmt.Sprintf("model-%d", i)
		c.Models = append(c.Models, config.Model{Name: model, Version: "v1", PrefillPerSecond: 8000})
		for j := range kindsPerModel {
			c.Kinds = append(c.Kinds, config.Kind{
				Name: fmt.Sprintf("kind-%d-%d", i, j), Model: model, Worth: 10, Objective: 0.999,
				FullUntil: config.Duration(time.Second), Deadline: config.Duration(time.Minute),
				FirstByte: config.Duration(time.Second), BetweenBytes: config.Duration(time.Second),
			})
		}
	}
	for i := range n {
		address := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		c.Endpoints = append(c.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("endpoint-%03d", i), Address: netip.AddrPortFrom(address, 8000), Zone: c.Zones[i%5].Name,
			Model: c.Models[i%len(c.Models)].Name, Capacity: 8, ColdCapacity: 2, WarmAfter: 16, CacheTokens: 400_000,
		})
	}
	// The planned size has 230 workspaces for 640 endpoints.
	for i := range max(1, n*230/640) {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: fmt.Sprintf("workspace-%03d", i), KeyHash: fmt.Sprintf("%064d", i), Share: 1})
	}
	c.Limits = config.Limits{MeanMultiple: 1.25, LedgerWindow: config.Duration(10 * time.Minute), LedgerShards: 8, CrashLimit: 2, RetryShare: 0.1, AddressTTL: config.Duration(time.Second), WeightLoadsPerMinute: 6}
	return c
}

// measureCounters measures the counters of the burn report.
func measureCounters() Measurement {
	m := newMeasurement("counters")
	kinds := []int{5, 20, 70}
	m.add("table_bytes", "B", "kinds", kinds, func(n int) float64 {
		return heapOf(func() any { return filledRecorder(n) })
	})
	m.add("record_bytes", "B", "kinds", kinds, func(n int) float64 {
		end := sim.Epoch.Add(6 * time.Hour)
		record := filledRecorder(n).Snapshot(end, end.Add(-burn.ReplicationInterval))
		return float64(wireSize(burn.ToWire(record)))
	})
	m.add("whole_record_bytes", "B", "kinds", kinds, func(n int) float64 {
		record := filledRecorder(n).Snapshot(sim.Epoch.Add(6*time.Hour), sim.Epoch)
		return float64(wireSize(burn.ToWire(record)))
	})
	return m
}

// filledRecorder returns a recorder with counts in each minute of six hours.
func filledRecorder(kinds int) *burn.Recorder {
	recorder := burn.NewRecorder("host-001", 1, "zone-1", sim.Epoch)
	for minute := range 6 * 60 {
		for kind := range kinds {
			at := sim.Epoch.Add(time.Duration(minute) * time.Minute)
			recorder.Count(at, fmt.Sprintf("kind-%d", kind), burn.InTime)
		}
	}
	return recorder
}
