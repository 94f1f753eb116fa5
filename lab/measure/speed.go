package measure

import (
	"context"

	"github.com/stoatmount/stoatmount/lab/speed"
)

// Targets of the overhead of one router.
const (
	addedMedianUs     = 1000
	addedP95Us        = 3000
	addedInterTokenUs = 1000
	addedStreamBytes  = 64 << 10
)

// measureSpeed compares requests to a stand-in directly and through one router,
// on real connections and in real time.
func measureSpeed(o Options) (*Report, error) {
	options := speed.DefaultOptions()
	if o.Small {
		options = speed.Options{Seconds: 2, PerSecond: 50, Streams: 50, Requests: 100}
	}
	report := &Report{Name: "speed", Plot: "first_token_p50_us"}
	var worst speed.Result
	results := make([]speed.Result, 0, o.Seeds)
	for i := range o.Seeds {
		result, err := speed.Run(context.Background(), options)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
		report.Seeds = append(report.Seeds, o.Seed+uint64(i))
		worst = worseSpeed(worst, result)
	}
	for _, figure := range speedFigures() {
		direct, routed := make([]float64, 0, o.Seeds), make([]float64, 0, o.Seeds)
		for i := range results {
			pair := figure.of(&results[i])
			direct = append(direct, pair.Direct)
			routed = append(routed, pair.Routed)
		}
		report.add("50 requests a second", "direct", figure.name, direct)
		report.add("50 requests a second", "one router", figure.name, routed)
	}
	report.atMost("added to the median of the first token, us", addedMedianUs, worst.FirstTokenP50Us.Added())
	report.atMost("added to the p95 of the first token, us", addedP95Us, worst.FirstTokenP95Us.Added())
	report.atMost("added to the p95 between tokens, us", addedInterTokenUs, worst.InterTokenP95Us.Added())
	report.atMost("memory added per open stream, bytes", addedStreamBytes, worst.StreamBytes.Added())
	return report, nil
}

// speedFigure selects a figure of a speed.Result.
type speedFigure struct {
	name string
	of   func(*speed.Result) *speed.Pair
}

func speedFigures() []speedFigure {
	return []speedFigure{
		{"first_token_p50_us", func(r *speed.Result) *speed.Pair { return &r.FirstTokenP50Us }},
		{"first_token_p95_us", func(r *speed.Result) *speed.Pair { return &r.FirstTokenP95Us }},
		{"between_p50_us", func(r *speed.Result) *speed.Pair { return &r.InterTokenP50Us }},
		{"between_p95_us", func(r *speed.Result) *speed.Pair { return &r.InterTokenP95Us }},
		{"stream_bytes", func(r *speed.Result) *speed.Pair { return &r.StreamBytes }},
		{"allocs", func(r *speed.Result) *speed.Pair { return &r.RequestAllocs }},
		{"processor_us", func(r *speed.Result) *speed.Pair { return &r.RequestCPU }},
	}
}

// worseSpeed returns the pair with the larger overhead for each figure.
func worseSpeed(a, b speed.Result) speed.Result {
	for _, figure := range speedFigures() {
		if mine, other := figure.of(&a), figure.of(&b); other.Added() > mine.Added() {
			*mine = *other
		}
	}
	return a
}
