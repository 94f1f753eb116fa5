package ledgerbench

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/logstore"
)

// Options are the parameters of the benchmark.
type Options struct {
	Rates              []int         // requests per second of the whole fleet
	NonIdempotentShare float64       `json:"Share"` // share of non-idempotent requests
	Shards             int           // streams
	Seconds            int           // virtual time per rate
	AppendTime         time.Duration `json:"Append"` // duration of an append or a read of the log
	RequestTime        time.Duration `json:"Runs"`   // duration of a request
	ResponseBytes      int           `json:"Answer"` // bytes of a response
	Seed               uint64
}

// DefaultOptions returns the options of the results in docs/RESULTS.md.
func DefaultOptions() Options {
	return Options{
		Rates: []int{200, 500, 1000, 2000}, NonIdempotentShare: 0.1, Shards: 8, Seconds: 60,
		AppendTime: 5 * time.Millisecond, RequestTime: 300 * time.Millisecond, ResponseBytes: 200, Seed: 1,
	}
}

// Point holds the figures at one request rate.
type Point struct {
	Rate             int     `json:"requests_per_second"`
	Claims           int     `json:"claims"`
	AppendsPerSecond float64 `json:"appends_per_second"`
	BusiestSecond    int     `json:"busiest_second_appends"`
	RecordsPerAppend float64 `json:"records_per_append"`
	BytesPerClaim    float64 `json:"log_bytes_per_claim"`
	WaitMedianMs     float64 `json:"claim_wait_median_ms"`
	WaitP95Ms        float64 `json:"claim_wait_p95_ms"`
	ReplayRecords    int64   `json:"replay_records"`
	ReplayMicros     float64 `json:"replay_us_per_record"`
	Keys             int     `json:"keys_held"`
	ResponseBytes    int     `json:"answer_bytes_held"`
}

// Result is the result of the benchmark.
type Result struct {
	Options Options `json:"options"`
	Points  []Point `json:"points"`
}

// flushInterval is the interval of group commits of a shard, as in package process/ledger.
const flushInterval = 80 * time.Millisecond

// Measure runs the benchmark at every rate.
func Measure(o Options) (Result, error) {
	result := Result{Options: o}
	for _, rate := range o.Rates {
		point, err := measureRate(o, rate)
		if err != nil {
			return Result{}, errors.Wrapf(err, "at %d requests per second", rate)
		}
		result.Points = append(result.Points, point)
	}
	return result, nil
}

// benchmark is the state of the run at one rate.
type benchmark struct {
	options Options
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	log     *logstore.Memory
	shards  []*ledger.Shard
	pending []submittedClaim
	waits   []time.Duration
	running runningHeap
}

// submittedClaim is a claim submitted to a shard, with the arrival of its request.
type submittedClaim struct {
	pending *ledger.PendingClaim
	shard   int
	claim   ledger.Claim
	arrived time.Time
}

// runningRequest is a request whose claim won, and the time when it ends.
type runningRequest struct {
	ends time.Time
	submittedClaim
}

func measureRate(o Options, rate int) (Point, error) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).UTC())
	b := &benchmark{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(rate))), clock: clock,
		log: logstore.NewMemory(logstore.Options{Clock: clock}),
	}
	for i := range o.Shards {
		s := ledger.NewShard(b.shardOptions(), i)
		if err := s.Tail(context.Background(), 0); err != nil {
			return Point{}, err
		}
		b.shards = append(b.shards, s)
	}
	b.drive(float64(rate) * o.NonIdempotentShare)
	return b.point(rate)
}

func (b *benchmark) shardOptions() ledger.Options {
	return ledger.Options{Log: b.log, Clock: b.clock, Logger: logr.Discard()}
}

// drive submits claims as a Poisson process with the given rate per second. The
// group commits of the shards are spread evenly over the flush interval.
func (b *benchmark) drive(rate float64) {
	step := flushInterval / time.Duration(b.options.Shards)
	next := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < time.Duration(b.options.Seconds)*time.Second; elapsed += step {
		for next <= elapsed {
			b.submitClaim(elapsed - next)
			next += time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))
		}
		b.completeRequests()
		b.commit(int(elapsed/step) % b.options.Shards)
		b.clock.Advance(step)
	}
}

// submitClaim submits the claim of a request that arrived the given time ago.
func (b *benchmark) submitClaim(ago time.Duration) {
	key := b.newKey()
	claim := ledger.Claim{Key: key, Attempt: ledger.NewAttemptID(b.rng), Fingerprint: 1, MaxDuration: 30 * time.Second}
	shard := key.Shard(b.options.Shards)
	b.pending = append(b.pending, submittedClaim{
		pending: b.shards[shard].Submit(claim), shard: shard, claim: claim, arrived: b.clock.Now().Add(-ago),
	})
}

func (b *benchmark) newKey() ledger.Key {
	var id uuid.UUID
	ms := b.clock.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(b.rng.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return ledger.Key("u/workspace/" + id.String())
}

// commit runs a group commit of one shard and reads it back. Claims settle after
// the durations of an append and a read.
func (b *benchmark) commit(shard int) {
	ctx := context.Background()
	s := b.shards[shard]
	_, _ = s.Flush(ctx)
	_ = s.Tail(ctx, 0)
	settled := b.clock.Now().Add(2 * b.options.AppendTime)
	b.pending = slices.DeleteFunc(b.pending, func(c submittedClaim) bool {
		if c.pending.Result().State != ledger.Won {
			return false
		}
		b.waits = append(b.waits, settled.Sub(c.arrived))
		heap.Push(&b.running, runningRequest{ends: settled.Add(b.options.RequestTime), submittedClaim: c})
		return true
	})
}

// completeRequests records the outcomes of the requests that have ended.
func (b *benchmark) completeRequests() {
	for len(b.running) > 0 && !b.running[0].ends.After(b.clock.Now()) {
		r := heap.Pop(&b.running).(runningRequest)
		b.shards[r.shard].RecordOutcome(ledger.Outcome{
			Key: r.claim.Key, Attempt: r.claim.Attempt, Run: outcome.RunDone,
			Response: &ledger.StoredResponse{Status: 200, ContentType: "application/json", Body: make([]byte, b.options.ResponseBytes)},
		})
	}
}

func (b *benchmark) point(rate int) (Point, error) {
	logStats := b.log.Stats()
	p := Point{
		Rate: rate, Claims: len(b.waits), BusiestSecond: logStats.PeakAppends,
		AppendsPerSecond: float64(logStats.Appends) / float64(b.options.Seconds),
		RecordsPerAppend: float64(logStats.Records) / float64(max(1, logStats.Appends)),
	}
	slices.Sort(b.waits)
	if n := len(b.waits); n > 0 {
		p.WaitMedianMs = milliseconds(b.waits[n/2])
		p.WaitP95Ms = milliseconds(b.waits[n*95/100])
	}
	bytes := 0
	for i := range b.shards {
		for _, r := range b.log.All(ledger.Stream(i)) {
			bytes += len(r.Data)
		}
		shardStats := b.shards[i].Stats()
		p.Keys += shardStats.Keys
		p.ResponseBytes += shardStats.ResponseBytes
	}
	p.BytesPerClaim = float64(bytes) / float64(max(1, p.Claims))
	return p, b.replay(&p)
}

// replay measures the real time in which a new appender reads one shard.
func (b *benchmark) replay(p *Point) error {
	s := ledger.NewShard(b.shardOptions(), 0)
	start := time.Now()
	if err := s.Tail(context.Background(), 0); err != nil {
		return err
	}
	p.ReplayRecords = s.Stats().RecordsRead
	p.ReplayMicros = float64(time.Since(start).Microseconds()) / float64(max(1, p.ReplayRecords))
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// runningHeap is a heap of requests by the time when they end.
type runningHeap []runningRequest

// Len implements heap.Interface.
func (r runningHeap) Len() int { return len(r) }

// Less implements heap.Interface.
func (r runningHeap) Less(i, j int) bool { return r[i].ends.Before(r[j].ends) }

// Swap implements heap.Interface.
func (r runningHeap) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *runningHeap) Push(x any) { *r = append(*r, x.(runningRequest)) }

// Pop implements heap.Interface.
func (r *runningHeap) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}
