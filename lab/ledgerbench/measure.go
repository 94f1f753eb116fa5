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

// Options say what to measure.
type Options struct {
	Rates   []int         // requests per second of the whole fleet
	Share   float64       // share of non-idempotent requests
	Shards  int           // streams
	Seconds int           // of virtual time per rate
	Append  time.Duration // time that the log takes for an append or a read
	Runs    time.Duration // time that a request runs
	Answer  int           // bytes of an answer
	Seed    uint64
}

// DefaultOptions are those of docs/RESULTS.md.
func DefaultOptions() Options {
	return Options{
		Rates: []int{200, 500, 1000, 2000}, Share: 0.1, Shards: 8, Seconds: 60,
		Append: 5 * time.Millisecond, Runs: 300 * time.Millisecond, Answer: 200, Seed: 1,
	}
}

// Point is what was measured at one rate.
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
	AnswerBytes      int     `json:"answer_bytes_held"`
}

// Result is the outcome of a measurement.
type Result struct {
	Options Options `json:"options"`
	Points  []Point `json:"points"`
}

// flushEvery is the time between two group commits of a shard, as in package
// process/ledger.
const flushEvery = 80 * time.Millisecond

// Measure measures at every rate.
func Measure(o Options) (Result, error) {
	result := Result{Options: o}
	for _, rate := range o.Rates {
		point, err := measureAt(o, rate)
		if err != nil {
			return Result{}, errors.Wrapf(err, "at %d requests a second", rate)
		}
		result.Points = append(result.Points, point)
	}
	return result, nil
}

// bench is one run.
type bench struct {
	o      Options
	rng    *rand.Rand
	clock  *clockwork.FakeClock
	log    *logstore.Memory
	shards []*ledger.Shard
	open   []claim
	waits  []time.Duration
	runs   runs
}

// claim is a claim that waits, and the request that runs after it.
type claim struct {
	pending *ledger.PendingClaim
	shard   int
	entry   ledger.Claim
	asked   time.Time
}

// run is a request that ends at a time.
type run struct {
	ends time.Time
	claim
}

func measureAt(o Options, rate int) (Point, error) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).UTC())
	b := &bench{
		o: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(rate))), clock: clock,
		log: logstore.NewMemory(logstore.Options{Clock: clock}),
	}
	for i := range o.Shards {
		s := ledger.NewShard(b.options(), i)
		if err := s.Tail(context.Background(), 0); err != nil {
			return Point{}, err
		}
		b.shards = append(b.shards, s)
	}
	b.drive(float64(rate) * o.Share)
	return b.point(rate)
}

func (b *bench) options() ledger.Options {
	return ledger.Options{Log: b.log, Clock: b.clock, Logger: logr.Discard()}
}

// drive lets claims come in at rate per second. Shards commit in turn, spread
// over the time between two group commits.
func (b *bench) drive(rate float64) {
	step := flushEvery / time.Duration(b.o.Shards)
	next := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < time.Duration(b.o.Seconds)*time.Second; elapsed += step {
		for next <= elapsed {
			b.ask(elapsed - next)
			next += time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))
		}
		b.end()
		b.commit(int(elapsed/step) % b.o.Shards)
		b.clock.Advance(step)
	}
}

// ask enters a claim that came in a while ago.
func (b *bench) ask(ago time.Duration) {
	key := b.key()
	entry := ledger.Claim{Key: key, Attempt: ledger.NewAttemptID(b.rng), Fingerprint: 1, MaxDuration: 30 * time.Second}
	shard := key.Shard(b.o.Shards)
	b.open = append(b.open, claim{
		pending: b.shards[shard].Submit(entry), shard: shard, entry: entry, asked: b.clock.Now().Add(-ago),
	})
}

func (b *bench) key() ledger.Key {
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

// commit makes a group commit of one shard and reads it back. An append and a
// read take the log's time each.
func (b *bench) commit(shard int) {
	ctx := context.Background()
	s := b.shards[shard]
	_, _ = s.Flush(ctx)
	_ = s.Tail(ctx, 0)
	settled := b.clock.Now().Add(2 * b.o.Append)
	b.open = slices.DeleteFunc(b.open, func(c claim) bool {
		if c.pending.Result().State != ledger.Won {
			return false
		}
		b.waits = append(b.waits, settled.Sub(c.asked))
		heap.Push(&b.runs, run{ends: settled.Add(b.o.Runs), claim: c})
		return true
	})
}

// end records the outcomes of the requests that are over.
func (b *bench) end() {
	for len(b.runs) > 0 && !b.runs[0].ends.After(b.clock.Now()) {
		r := heap.Pop(&b.runs).(run)
		b.shards[r.shard].RecordOutcome(ledger.Outcome{
			Key: r.entry.Key, Attempt: r.entry.Attempt, Run: outcome.RunDone,
			Response: &ledger.StoredResponse{Status: 200, ContentType: "application/json", Body: make([]byte, b.o.Answer)},
		})
	}
}

func (b *bench) point(rate int) (Point, error) {
	record := b.log.Stats()
	p := Point{
		Rate: rate, Claims: len(b.waits), BusiestSecond: record.PeakAppends,
		AppendsPerSecond: float64(record.Appends) / float64(b.o.Seconds),
		RecordsPerAppend: float64(record.Records) / float64(max(1, record.Appends)),
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
		stats := b.shards[i].Stats()
		p.Keys += stats.Keys
		p.AnswerBytes += stats.ResponseBytes
	}
	p.BytesPerClaim = float64(bytes) / float64(max(1, p.Claims))
	return p, b.replay(&p)
}

// replay lets a new appender read one shard.
func (b *bench) replay(p *Point) error {
	s := ledger.NewShard(b.options(), 0)
	began := time.Now()
	if err := s.Tail(context.Background(), 0); err != nil {
		return err
	}
	p.ReplayRecords = s.Stats().RecordsRead
	p.ReplayMicros = float64(time.Since(began).Microseconds()) / float64(max(1, p.ReplayRecords))
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// runs orders requests by their end.
type runs []run

// Len implements heap.Interface.
func (r runs) Len() int { return len(r) }

// Less implements heap.Interface.
func (r runs) Less(i, j int) bool { return r[i].ends.Before(r[j].ends) }

// Swap implements heap.Interface.
func (r runs) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *runs) Push(x any) { *r = append(*r, x.(run)) }

// Pop implements heap.Interface.
func (r *runs) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}
