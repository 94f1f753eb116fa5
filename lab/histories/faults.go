package histories

import (
	"time"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// injectFault starts or ends a fault.
func (h *history) injectFault() {
	h.counts.Faults++
	r := h.randomRouter()
	switch h.rng.IntN(16) {
	case 0:
		h.fleet.Kill(r)
	case 1, 2:
		h.restart(r)
	case 3:
		if r.Up && !r.Paused {
			h.fleet.Pause(r)
		}
	case 4, 5:
		h.resumeAll()
	case 6:
		h.blocked[link(r, h.randomRouter())] = true
	case 7:
		h.partition()
	case 8, 9:
		clear(h.blocked)
	case 10:
		h.listDown = !h.listDown
	case 11:
		h.logDown[r] = true
	case 12:
		clear(h.logDown)
	case 13:
		h.enableLogFault(fault.LostReply, 1+h.rng.IntN(3))
	case 14:
		h.startLogOutage()
	default:
		h.simulation.Restart(h.simulation.Endpoints[h.rng.IntN(len(h.simulation.Endpoints))], time.Second)
	}
}

func (h *history) enableLogFault(name fault.Name, count int) {
	if err := h.log.Faults().On(fault.Fault{Name: name, Count: count}); err != nil {
		h.addViolation("harness", "%v", err)
	}
}

// startLogOutage makes the log unreachable for all routers, for 1 to 20 seconds.
func (h *history) startLogOutage() {
	for _, r := range h.fleet.Routers {
		h.logDown[r] = true
	}
	length := time.Duration(1+h.rng.IntN(20)) * time.Second
	h.fleet.After(length, func() { clear(h.logDown) })
}

func (h *history) restart(r *sim.Router) {
	h.counts.Restarts++
	h.fleet.Start(r)
}

func (h *history) resumeAll() {
	for _, r := range h.fleet.Routers {
		if r.Up && r.Paused {
			h.fleet.Resume(r)
		}
	}
}

// partition splits the routers in two; both parts, one or none can reach the log.
func (h *history) partition() {
	cut := 1 + h.rng.IntN(routers-1)
	logDown := h.rng.IntN(3)
	order := h.rng.Perm(routers)
	for i, a := range order {
		for j, b := range order {
			if (i < cut) != (j < cut) {
				h.blocked[link(h.fleet.Routers[a], h.fleet.Routers[b])] = true
			}
		}
		if logDown == 1 && i < cut || logDown == 2 {
			h.logDown[h.fleet.Routers[a]] = true
		}
	}
}
