package loadshed

import (
	"math"
	"time"
)

const (
	bands = 96 // of cost, from a millisecond of work to any that may come
	// bandsPerDoubling is how many bands the cost takes to double.
	bandsPerDoubling = 2
	// rankBands is by how many bands a rank of urgency sets a request behind: the
	// more urgent one goes first unless it brings about three times the work.
	rankBands = 3
	// demandOver is the time over which demand is averaged, about as long as
	// engines take for a request.
	demandOver = time.Second
	// BusyFraction is the part of its slots from which an endpoint counts as busy. An
	// engine's throughput hardly grows beyond it.
	BusyFraction = 0.75
	// promptFill is the part of an engine's slots that demand may fill. Fuller ones
	// push prompts off the engines that cache them.
	promptFill = 0.9
)

// PriorityBand returns the place of a request in the order in which requests are taken
// while endpoints are busy, the first ones lowest: by the work that it brings,
// weighted by its rank, and the bands by which its workspace is set behind.
func PriorityBand(work time.Duration, rank, behind int) int {
	if work < time.Millisecond {
		work = time.Millisecond
	}
	doublings := math.Log2(float64(work) / float64(time.Millisecond))
	return max(0, min(bands-1, int(bandsPerDoubling*doublings)+rankBands*rank+behind))
}

// Demand is the work of a service's requests that came lately, by band, as the
// number of slots that it would occupy. Its zero value is ready for use; it is
// not safe for concurrent use.
type Demand struct {
	at    time.Time
	slots [bands]float64
}

// Add notes a request.
func (d *Demand) Add(now time.Time, band int, work time.Duration) {
	d.settle(now)
	d.slots[band] += float64(work) / float64(demandOver)
}

func (d *Demand) settle(now time.Time) {
	if kept := fade(&d.at, now); kept < 1 {
		for i := range d.slots {
			d.slots[i] *= kept
		}
	}
}

// fade returns the part of a demand that is left at now of what there was at
// *at, and sets *at to now.
func fade(at *time.Time, now time.Time) float64 {
	passed := now.Sub(*at)
	if passed <= 0 {
		return 1
	}
	*at = now
	return math.Exp(-float64(passed) / float64(demandOver))
}

// TargetSlots returns the slots that demand may fill of those that a router's requests
// have. mean is the work of a request of the service. Plain services are filled
// whole, and where few requests fill the slots, as at one of many routers, by a
// standard deviation more, as demand strays from its average by chance.
func TargetSlots(slots float64, mean time.Duration, prompt bool) float64 {
	if prompt {
		return promptFill * slots
	}
	return slots + math.Sqrt(slots*float64(mean)/float64(2*demandOver))
}

// AdmitRatio returns the part of a band's requests for which slots are left by those
// before it.
func (d *Demand) AdmitRatio(now time.Time, band int, slots float64) float64 {
	d.settle(now)
	left := slots
	for _, s := range d.slots[:band] {
		left -= s
	}
	if own := d.slots[band]; own > 0 {
		return max(0, min(1, left/own))
	}
	return 1
}
