package weights

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/stoatmount/stoatmount/standin/fault"
)

// Errors of a load.
var (
	ErrOutage = errors.New("weight store is out of service")
	ErrRate   = errors.New("weight store serves no more loads at the moment")
)

// Options describe a weight store.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // of the faults
	// LoadsPerMinute is the maximum rate of loads; 0: no limit.
	LoadsPerMinute int
	// LoadTime is the duration of one load.
	LoadTime time.Duration
}

// Stats counts what happened at the store.
type Stats struct {
	Loads       int // loads served
	Refused     int // loads refused by rate or outage
	MaxParallel int // largest number of loads at a time
}

// Store is a weight store in the process. It is safe for concurrent use.
type Store struct {
	options Options
	clock   clockwork.Clock
	faults  *fault.Set
	limiter *rate.Limiter

	mu    sync.Mutex
	open  int
	stats Stats
}

// NewStore returns a store.
func NewStore(options Options) *Store {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	limit := rate.Inf
	if options.LoadsPerMinute > 0 {
		limit = rate.Every(time.Minute / time.Duration(options.LoadsPerMinute))
	}
	return &Store{
		options: options,
		clock:   options.Clock,
		faults:  fault.NewSet(options.Clock, options.Seed),
		limiter: rate.NewLimiter(limit, max(1, options.LoadsPerMinute)),
	}
}

// Faults returns the store's faults: Outage, Hang and Slow.
func (s *Store) Faults() *fault.Set {
	return s.faults
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Load serves one load of weights. It implements engine.WeightSource.
func (s *Store) Load(ctx context.Context, _, _, _ string) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	defer s.finish()
	wait := s.options.LoadTime
	if slow, ok := s.faults.Trigger(fault.Slow); ok {
		wait += slow.Delay
	}
	select {
	case <-s.clock.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) begin(ctx context.Context) error {
	if _, hangs := s.faults.Trigger(fault.Hang); hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	_, down := s.faults.Trigger(fault.Outage)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down:
		s.stats.Refused++
		return ErrOutage
	case !s.limiter.AllowN(s.clock.Now(), 1):
		s.stats.Refused++
		return ErrRate
	}
	s.stats.Loads++
	s.open++
	s.stats.MaxParallel = max(s.stats.MaxParallel, s.open)
	return nil
}

func (s *Store) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}
