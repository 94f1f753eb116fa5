package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/process/suspect"
)

// Parameters of the crash simulation.
const (
	crashLimit     = 3
	crashEndpoints = 28
	crashDuration  = 5 * time.Minute
	crashSettle    = 30 * time.Second // at the end, without new harmless requests
	crashCallers   = 8                // concurrent callers that send the same body
	crashRate      = 10.0             // harmless requests per second
	// deadAfter is the time until routers agree that one of them is dead, and
	// bindingTime how long bindings to the old view last after that.
	deadAfter   = 4 * time.Second
	bindingTime = 2 * time.Second
	// homeTimeout is the timeout of a query to the home of a fingerprint.
	homeTimeout = 250 * time.Millisecond
	restartTime = 20 * time.Second // of a crashed endpoint
)

// protection is a way of protecting endpoints from requests that crash them.
type protection struct {
	name    string
	table   bool // use the table of suspects
	standby bool // query the standby if the home does not reply
}

// crashSimulation has a group of endpoints, some routers and one request body
// that crashes every endpoint that runs it, the poison.
type crashSimulation struct {
	loop       *eventLoop
	rng        *rand.Rand
	protection protection
	faults     bool
	view       *member.View
	routers    []*crashRouter
	endpoints  []*crashEndpoint
	lastID     uint64

	lostEndpoints   int // endpoints crashed by the poison
	harmlessServed  int
	harmlessSent    int
	harmlessRefused int
}

type crashRouter struct {
	name    string
	table   *suspect.Table
	running *suspect.Running
	down    bool
}

// crashRequest is one request in progress.
type crashRequest struct {
	fingerprint  suspect.Fingerprint
	router       *crashRouter
	poison       bool
	id           uint64
	endpoint     *crashEndpoint
	mustRunAlone bool
	incarnation  uint64
	attempts     int
	done         func(code crashResult)
}

type crashResult int

const (
	runServed crashResult = iota
	runCrashed
	runRefused
)

type crashEndpoint struct {
	name        string
	incarnation uint64
	up          bool
	running     map[uint64]*crashRequest
	order       []uint64        // of running, so that a crash reports them in a fixed order
	reserved    bool            // for the request that runs there alone
	waiting     []*crashRequest // until the endpoint is idle
}

func newCrashSimulation(seed uint64, routers int, p protection, faults bool) *crashSimulation {
	s := &crashSimulation{loop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 3)), protection: p, faults: faults}
	for i := range routers {
		r := &crashRouter{name: fmt.Sprintf("router-%03d", i), running: suspect.NewRunning()}
		r.table, _ = suspect.New(suspect.DefaultCapacity, crashLimit)
		r.table.SetAuthority(epoch, true)
		s.routers = append(s.routers, r)
	}
	s.setView()
	for i := range crashEndpoints {
		s.endpoints = append(s.endpoints, &crashEndpoint{name: fmt.Sprintf("end-%02d", i), incarnation: 1, up: true, running: make(map[uint64]*crashRequest)})
	}
	return s
}

// setView sets the view to the routers that are up.
func (s *crashSimulation) setView() {
	var members []member.Member
	for _, r := range s.routers {
		if !r.down {
			members = append(members, member.Member{Name: r.name, Incarnation: 1, Peer: netip.MustParseAddrPort("10.0.0.1:1")})
		}
	}
	s.view = member.NewView(members)
}

// homes returns the home of f and its standby.
func (s *crashSimulation) homes(f suspect.Fingerprint) (*crashRouter, *crashRouter) {
	home, _ := s.view.Owner(member.DutySuspect, f.Key())
	var others []member.Member
	for _, m := range s.view.Members {
		if m.Name != home.Name {
			others = append(others, m)
		}
	}
	standby, _ := member.NewView(others).Owner(member.DutySuspect, f.Key())
	return s.router(home.Name), s.router(standby.Name)
}

func (s *crashSimulation) router(name string) *crashRouter {
	for _, r := range s.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

// run runs the simulation and returns it with its counts.
func (s *crashSimulation) run() *crashSimulation {
	poison := suspect.FingerprintOf("space", "live", "", []byte("poison"))
	for range crashCallers {
		s.sendPoison(poison)
	}
	s.sendHarmlessRequests()
	if s.faults {
		s.loop.after(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() { s.killHome(poison) })
	}
	s.loop.run(epoch.Add(crashDuration))
	return s
}

// sendPoison sends the poison again and again, each time through a random router.
func (s *crashSimulation) sendPoison(f suspect.Fingerprint) {
	s.send(&crashRequest{fingerprint: f, poison: true, done: func(crashResult) {
		pause := time.Duration(s.rng.IntN(1000)) * time.Millisecond
		s.loop.after(pause, func() { s.sendPoison(f) })
	}})
}

func (s *crashSimulation) sendHarmlessRequests() {
	s.loop.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/crashRate), func() {
		if s.loop.now.Sub(epoch) > crashDuration-crashSettle {
			return
		}
		s.harmlessSent++
		f := suspect.FingerprintOf("space", "live", "", fmt.Appendf(nil, "innocent %d", s.harmlessSent))
		s.sendHarmless(f, 0)
		s.sendHarmlessRequests()
	})
}

// sendHarmless sends a request and, after a crash, retries it.
func (s *crashSimulation) sendHarmless(f suspect.Fingerprint, attempts int) {
	s.send(&crashRequest{fingerprint: f, attempts: attempts, done: func(result crashResult) {
		switch result {
		case runServed:
			s.harmlessServed++
		case runCrashed:
			s.loop.after(hopDelay, func() { s.sendHarmless(f, attempts+1) })
		case runRefused:
			s.harmlessRefused++
		}
	}})
}

// killHome stops the home of f. The other routers detect it after deadAfter.
func (s *crashSimulation) killHome(f suspect.Fingerprint) {
	home, _ := s.homes(f)
	home.down = true
	s.loop.after(deadAfter, func() {
		s.setView()
		for _, r := range s.routers {
			r.table.SetAuthority(s.loop.now.Add(bindingTime), true)
		}
	})
}

// measureCrash measures how many endpoints one request body crashes.
func measureCrash(o Options) (*Report, error) {
	report := &Report{Name: "crash", Seeds: o.seeds(), Plot: "endpoints lost, home lost too"}
	protections := []protection{
		{"stoatmount", true, true},
		{"home_only", true, false},
		{"no_table", false, false},
	}
	for _, routers := range []int{7, 330} {
		workload := fmt.Sprintf("%d routers", routers)
		for _, p := range protections {
			for _, faults := range []bool{false, true} {
				addCrash(o, report, workload, routers, p, faults)
			}
		}
	}
	return report, nil
}

func addCrash(o Options, report *Report, workload string, routers int, p protection, faults bool) {
	var lost, served, refused []float64
	for _, seed := range o.seeds() {
		s := newCrashSimulation(seed, routers, p, faults).run()
		lost = append(lost, float64(s.lostEndpoints))
		served = append(served, ratio(float64(s.harmlessServed), float64(s.harmlessSent)))
		refused = append(refused, float64(s.harmlessRefused))
	}
	name := "all up"
	if faults {
		name = "home lost too"
	}
	figure := report.add(workload, p.name, "endpoints lost, "+name, lost)
	report.add(workload, p.name, "innocents served, "+name, served)
	report.add(workload, p.name, "innocents refused, "+name, refused)
	if p.name == "stoatmount" {
		report.atMost("endpoints lost to one body, "+workload+", "+name, crashLimit, figure.Max)
		report.atMost("innocents refused, "+workload+", "+name, 0, report.row(workload, p.name).Figures[len(report.row(workload, p.name).Figures)-1].Max)
	}
}

// suspectQuery returns the message that asks the home where r may run.
func (r *crashRequest) suspectQuery() *peerpb.Suspect {
	return &peerpb.Suspect{Fingerprint: uint64(r.fingerprint), Endpoint: r.endpoint.name, Boot: r.endpoint.incarnation, Alone: r.mustRunAlone}
}
