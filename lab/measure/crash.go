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

// Measures of the crash site.
const (
	crashLimit     = 3
	crashEndpoints = 28
	crashTime      = 5 * time.Minute
	crashSettle    = 30 * time.Second // at the end, without new innocent requests
	crashCopies    = 8                // callers that send the same body at a time
	crashRate      = 10.0
	// deadAfter is the time until routers agree that one of them is dead, and
	// promiseTime how long promises to the old view last after that.
	deadAfter   = 4 * time.Second
	promiseTime = 2 * time.Second
	// homeTimeout is when a question to a home that does not answer is given up.
	homeTimeout = 250 * time.Millisecond
	restartTime = 20 * time.Second
)

// guard says how the site protects its endpoints.
type guard struct {
	name    string
	table   bool // the table of suspects is used
	standby bool // the next home is asked when the home does not answer
}

// crashSite is a group of endpoints, some routers and one body that crashes
// every endpoint that runs it.
type crashSite struct {
	loop    *loop
	rng     *rand.Rand
	guard   guard
	faults  bool
	view    *member.View
	routers []*crashRouter
	ends    []*crashEnd
	nextRun uint64

	lost      int // endpoints lost to the body
	served    int // innocent requests
	innocents int // innocent requests sent
	refused   int // innocent requests refused
}

type crashRouter struct {
	name    string
	table   *suspect.Table
	running *suspect.Running
	down    bool
}

// crashRun is one request on its way.
type crashRun struct {
	f      suspect.Fingerprint
	router *crashRouter
	poison bool
	id     uint64
	end    *crashEnd
	alone  bool
	boot   uint64
	tries  int
	done   func(code crashResult)
}

type crashResult int

const (
	runServed crashResult = iota
	runCrashed
	runRefused
)

type crashEnd struct {
	name    string
	boot    uint64
	up      bool
	runs    map[uint64]*crashRun
	order   []uint64 // of runs, so that a crash reports them in one order
	alone   bool
	waiting []*crashRun // for the endpoint to be empty
}

func newCrashSite(seed uint64, routers int, g guard, faults bool) *crashSite {
	s := &crashSite{loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 3)), guard: g, faults: faults}
	for i := range routers {
		r := &crashRouter{name: fmt.Sprintf("router-%03d", i), running: suspect.NewRunning()}
		r.table, _ = suspect.New(suspect.DefaultCapacity, crashLimit)
		r.table.SetAuthority(epoch, true)
		s.routers = append(s.routers, r)
	}
	s.setView()
	for i := range crashEndpoints {
		s.ends = append(s.ends, &crashEnd{name: fmt.Sprintf("end-%02d", i), boot: 1, up: true, runs: make(map[uint64]*crashRun)})
	}
	return s
}

// setView makes the view of the routers that are up.
func (s *crashSite) setView() {
	var members []member.Member
	for _, r := range s.routers {
		if !r.down {
			members = append(members, member.Member{Name: r.name, Incarnation: 1, Peer: netip.MustParseAddrPort("10.0.0.1:1")})
		}
	}
	s.view = member.NewView(members)
}

// homes returns the home of f and the next one.
func (s *crashSite) homes(f suspect.Fingerprint) (*crashRouter, *crashRouter) {
	first, _ := s.view.Owner(member.DutySuspect, f.Key())
	var others []member.Member
	for _, m := range s.view.Members {
		if m.Name != first.Name {
			others = append(others, m)
		}
	}
	second, _ := member.NewView(others).Owner(member.DutySuspect, f.Key())
	return s.router(first.Name), s.router(second.Name)
}

func (s *crashSite) router(name string) *crashRouter {
	for _, r := range s.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

// run runs the site and returns the endpoints lost to the body.
func (s *crashSite) run() *crashSite {
	poison := suspect.FingerprintOf("space", "live", "", []byte("poison"))
	for range crashCopies {
		s.sendPoison(poison)
	}
	s.sendInnocents()
	if s.faults {
		s.loop.after(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() { s.killHome(poison) })
	}
	s.loop.run(epoch.Add(crashTime))
	return s
}

// sendPoison sends the body through one router after the other, for ever.
func (s *crashSite) sendPoison(f suspect.Fingerprint) {
	s.send(&crashRun{f: f, poison: true, done: func(crashResult) {
		pause := time.Duration(s.rng.IntN(1000)) * time.Millisecond
		s.loop.after(pause, func() { s.sendPoison(f) })
	}})
}

func (s *crashSite) sendInnocents() {
	s.loop.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/crashRate), func() {
		if s.loop.now.Sub(epoch) > crashTime-crashSettle {
			return
		}
		s.innocents++
		f := suspect.FingerprintOf("space", "live", "", fmt.Appendf(nil, "innocent %d", s.innocents))
		s.sendInnocent(f, 0)
		s.sendInnocents()
	})
}

// sendInnocent sends a body and, after a crash, sends it again.
func (s *crashSite) sendInnocent(f suspect.Fingerprint, tries int) {
	s.send(&crashRun{f: f, tries: tries, done: func(result crashResult) {
		switch result {
		case runServed:
			s.served++
		case runCrashed:
			s.loop.after(hop, func() { s.sendInnocent(f, tries+1) })
		case runRefused:
			s.refused++
		}
	}})
}

// killHome takes the home of f down. The others notice after deadAfter.
func (s *crashSite) killHome(f suspect.Fingerprint) {
	home, _ := s.homes(f)
	home.down = true
	s.loop.after(deadAfter, func() {
		s.setView()
		for _, r := range s.routers {
			r.table.SetAuthority(s.loop.now.Add(promiseTime), true)
		}
	})
}

// measureCrash measures the endpoints that one body takes down.
func measureCrash(o Options) (*Report, error) {
	report := &Report{Name: "crash", Seeds: o.seeds(), Plot: "endpoints lost, home lost too"}
	guards := []guard{
		{"stoatmount", true, true},
		{"home_only", true, false},
		{"no_table", false, false},
	}
	for _, routers := range []int{7, 330} {
		workload := fmt.Sprintf("%d routers", routers)
		for _, g := range guards {
			for _, faults := range []bool{false, true} {
				addCrash(o, report, workload, routers, g, faults)
			}
		}
	}
	return report, nil
}

func addCrash(o Options, report *Report, workload string, routers int, g guard, faults bool) {
	var lost, served, refused []float64
	for _, seed := range o.seeds() {
		s := newCrashSite(seed, routers, g, faults).run()
		lost = append(lost, float64(s.lost))
		served = append(served, ratio(float64(s.served), float64(s.innocents)))
		refused = append(refused, float64(s.refused))
	}
	name := "all up"
	if faults {
		name = "home lost too"
	}
	f := report.add(workload, g.name, "endpoints lost, "+name, lost)
	report.add(workload, g.name, "innocents served, "+name, served)
	report.add(workload, g.name, "innocents refused, "+name, refused)
	if g.name == "stoatmount" {
		report.atMost("endpoints lost to one body, "+workload+", "+name, crashLimit, f.Max)
		report.atMost("innocents refused, "+workload+", "+name, 0, report.row(workload, g.name).Figures[len(report.row(workload, g.name).Figures)-1].Max)
	}
}

// question is the message with which a run asks where it may go.
func (r *crashRun) question() *peerpb.Suspect {
	return &peerpb.Suspect{Fingerprint: uint64(r.f), Endpoint: r.end.name, Boot: r.end.boot, Alone: r.alone}
}
