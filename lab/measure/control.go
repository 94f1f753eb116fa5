package measure

import (
	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

const (
	// controlBudget is the budget of a router for control messages, in bytes per second.
	controlBudget = 8 * 1024
	// peakRate is the planned peak of the fleet in requests per second.
	peakRate = 2000
	// framingBytes is the overhead of a message sent alone: Batch and gRPC prefix, HTTP/2 frame, TCP, IP
	// and Ethernet headers. sim.FrameBytes leaves out Batch and Ethernet.
	framingBytes = 4 + 5 + 9 + 32 + 20 + 14
)

// messageSizes are the encoded sizes of the request path's messages, with
// names of the length that the scaled workload uses.
type messageSizes struct {
	permit, grant, denial, release      int
	suspectQuery, verdict, cleared      int
	placeUpdate, placeQuery, placeReply int
}

func encoded(e *peerpb.Envelope) int {
	e.Call = 1 << 20
	return proto.Size(e)
}

func encodedSizes() messageSizes {
	const endpoint, largeID, permit = "model-07-w012", uint64(1) << 60, uint64(1) << 60
	reply := func(m *peerpb.PermitReply) int {
		return encoded(&peerpb.Envelope{Body: &peerpb.Envelope_PermitReply{PermitReply: m}})
	}
	suspectMessage := func(m *peerpb.Suspect) int {
		m.Fingerprint, m.Endpoint, m.Boot = largeID, endpoint, largeID
		return encoded(&peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: m}})
	}
	return messageSizes{
		permit: encoded(&peerpb.Envelope{Body: &peerpb.Envelope_PermitRequest{PermitRequest: &peerpb.PermitRequest{
			Endpoint: endpoint, Workspace: "space-123", Kind: "live-model-07", DeadlineMs: 30000, WaitMs: 300, AgeMs: 3, ConfigVersion: 1 << 20,
		}}}),
		grant:        reply(&peerpb.PermitReply{Granted: true, Permit: permit, DispatchMs: 500, LeaseMs: 3000, Load: 9, Cap: 12, Boot: largeID}),
		denial:       reply(&peerpb.PermitReply{Code: 2007, RetryAfterMs: 300, Load: 12, Cap: 12, Queue: 3, Boot: largeID}),
		release:      encoded(&peerpb.Envelope{Body: &peerpb.Envelope_Release{Release: &peerpb.Release{Endpoint: endpoint, Permit: permit, Completed: true, Dispatched: true, FirstTokenMs: 200, Tokens: 100, Boot: largeID}}}),
		suspectQuery: suspectMessage(&peerpb.Suspect{}),
		verdict:      encoded(&peerpb.Envelope{Body: &peerpb.Envelope_SuspectReply{SuspectReply: &peerpb.SuspectReply{Endpoint: endpoint}}}),
		cleared:      suspectMessage(&peerpb.Suspect{Cleared: true}),
		placeUpdate: encoded(&peerpb.Envelope{Body: &peerpb.Envelope_PlaceUpdate{PlaceUpdate: &peerpb.PlaceUpdate{
			Chat: largeID, Endpoint: endpoint, Boot: largeID, Tokens: 4000,
		}}}),
		placeQuery: encoded(&peerpb.Envelope{Body: &peerpb.Envelope_PlaceQuery{PlaceQuery: &peerpb.PlaceQuery{Chat: largeID}}}),
		placeReply: encoded(&peerpb.Envelope{Body: &peerpb.Envelope_PlaceReply{PlaceReply: &peerpb.PlaceReply{
			Found: true, Endpoint: endpoint, Boot: largeID, Tokens: 4000, AgeMs: 60000,
		}}}),
	}
}

// measureControl computes the bytes per second that a router sends for the
// request path: messages are counted in runs, sizes are those of the encoded
// messages. Every message is assumed to go to another router. The plotted figure
// adds the framing of a packet for each message.
func measureControl(o Options) (*Report, error) {
	report := &Report{Name: "control", Seeds: o.seeds(), Plot: "bytes a second per router, each message alone"}
	m := encodedSizes()
	for _, w := range o.workloads() {
		for _, c := range []struct {
			name string
			s    scenario
		}{{"calm", scenario{}}, {"churn", scenario{upgradeInterval: upgradeInterval(&w)}}} {
			runs := o.runs(&w, c.s, productPolicy)
			perSecond := func(s *stats) (messages, bytes float64) { return m.traffic(s) }
			report.add(w.Name, c.name, "requests a second per router", collect(runs, func(s *stats) float64 { return float64(s.requests) / s.routerSeconds() }))
			report.add(w.Name, c.name, "permit requests per request", collect(runs, func(s *stats) float64 { return ratio(float64(s.permitRequests), float64(s.requests)) }))
			report.add(w.Name, c.name, "messages a second per router", collect(runs, func(s *stats) float64 { n, _ := perSecond(s); return n }))
			report.add(w.Name, c.name, "encoded bytes a second per router", collect(runs, func(s *stats) float64 { _, b := perSecond(s); return b }))
			unbatched := report.add(w.Name, c.name, report.Plot, collect(runs, func(s *stats) float64 {
				n, b := perSecond(s)
				return b + n*framingBytes
			}))
			if w.Name == Scaled().Name {
				peak := unbatched.Max * peakRate / (w.requestRatePerRouter(runs) * float64(w.Routers))
				report.atMost("control bytes a second of the request path at the peak rate, "+c.name, controlBudget, peak)
			}
		}
	}
	return report, nil
}

// requestRatePerRouter returns the requests per second of one router in the first run.
func (w *Workload) requestRatePerRouter(runs []*stats) float64 {
	return float64(runs[0].requests) / runs[0].routerSeconds()
}

// routerSeconds returns the measured time multiplied by the number of routers.
func (s *stats) routerSeconds() float64 {
	return s.f.workload.Measured.Seconds() * float64(s.f.workload.Routers)
}

// traffic returns the messages and encoded bytes per second of a router, with one permit per request.
func (m *messageSizes) traffic(s *stats) (messages, bytes float64) {
	permitRequests, requests := float64(s.permitRequests), float64(s.requests)
	denials := max(permitRequests-requests, 0)
	count := func(n float64, size int) {
		messages += n / s.routerSeconds()
		bytes += n * float64(size) / s.routerSeconds()
	}
	count(permitRequests, m.permit)
	count(requests, m.grant)
	count(denials, m.denial)
	count(requests, m.release)
	count(requests, m.suspectQuery)
	count(requests, m.verdict)
	count(requests, m.cleared)
	count(float64(s.placeUpdates), m.placeUpdate)
	count(float64(s.placeQueries), m.placeQuery)
	count(float64(s.placeQueries), m.placeReply)
	return messages, bytes
}
