package loadshed

import (
	"math"
	"time"
)

const (
	bands = 96 // number of priority bands, from a millisecond of work up
	// bandsPerDoubling is the number of bands per doubling of the work.
	bandsPerDoubling = 2
	// rankBands is the number of bands by which one urgency rank lowers the priority:
	// a more urgent request goes first unless it takes about three times the work.
	rankBands = 3
	// demandWindow is the time constant of the demand average, about as long as
	// engines take for a request.
	demandWindow = time.Second
	// BusyFraction is the fraction of its slots from which an endpoint counts as busy.
	// An engine's throughput hardly grows beyond it.
	BusyFraction = 0.75
	// maxPromptUtilization is the fraction of an engine's slots that demand may fill.
	// On fuller engines, more requests miss the engine that caches their prompt.
	maxPromptUtilization = 0.9
)

// PriorityBand returns the band in which a request competes while endpoints are
// busy; lower bands go first. It depends on the work that the request causes,
// weighted by its urgency rank, and on the penalty of its workspace.
func PriorityBand(work time.Duration, rank, penalty int) int {
	if work < time.Millisecond {
		work = time.Millisecond
	}
	doublings := math.Log2(float64(work) / float64(time.Millisecond))
	return max(0, min(bands-1, int(bandsPerDoubling*doublings)+rankBands*rank+penalty))
}

// Demand is the decaying average of the work of a service's requests, by band,
// measured in occupied slots. Its zero value is ready for use; it is not safe
// for concurrent use.
type Demand struct {
	at    time.Time
	slots [bands]float64
}

// Add records a request.
func (d *Demand) Add(now time.Time, band int, work time.Duration) {
	d.decay(now)
	d.slots[band] += float64(work) / float64(demandWindow)
}

func (d *Demand) decay(now time.Time) {
	if factor := decayFactor(&d.at, now); factor < 1 {
		for i := range d.slots {
			d.slots[i] *= factor
		}
	}
}

// decayFactor returns the fraction of the demand at *at that remains at now, and
// sets *at to now.
func decayFactor(at *time.Time, now time.Time) float64 {
	elapsed := now.Sub(*at)
	if elapsed <= 0 {
		return 1
	}
	*at = now
	return math.Exp(-float64(elapsed) / float64(demandWindow))
}

// TargetSlots returns how many slots the demand on a router may fill. slots is its
// part of the service's slots, mean the mean service time. Plain services are
// filled completely, and a standard deviation of the Demand of randomly arriving
// requests is added, which matters where the slots are few, as at one of many routers.
func TargetSlots(slots float64, mean time.Duration, prompt bool) float64 {
	if prompt {
		return maxPromptUtilization * slots
	}
	return slots + math.Sqrt(slots*float64(mean)/float64(2*demandWindow))
}

// AdmitRatio returns the fraction of a band's requests for which slots remain
// after the bands before it.
func (d *Demand) AdmitRatio(now time.Time, band int, slots float64) float64 {
	d.decay(now)
	left := slots
	for _, s := range d.slots[:band] {
		left -= s
	}
	if own := d.slots[band]; own > 0 {
		return max(0, min(1, left/own))
	}
	return 1
}
