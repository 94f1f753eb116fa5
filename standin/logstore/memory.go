package logstore

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// Errors of Memory: the Cause of an AppendError, or returned by Read.
var (
	ErrOutage    = errors.New("log is out of service")
	ErrRate      = errors.New("log takes no more appends at the moment")
	ErrLostReply = errors.New("reply from the log was lost")
)

// Options describe a log.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // of the faults
	// KeepRecords is the number of records that a stream keeps; 0: all.
	KeepRecords int
	// KeepFor is the age at which records expire; 0: never.
	KeepFor time.Duration
	// AppendsPerSecond is the rate above which appends are refused; 0: no limit.
	AppendsPerSecond int
}

// Memory is a log in the process. It implements platformclient.Log. It is safe
// for concurrent use.
type Memory struct {
	options Options
	clock   clockwork.Clock
	faults  *fault.Set
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	stats   Stats
	recent  []time.Time // appends of the last second
}

type stream struct {
	first    platformclient.Offset // offset of records[0]
	records  []platformclient.Record
	all      []platformclient.Record // including expired ones
	appended chan struct{}           // closed when a record is added
}

// Stats counts what happened at the log.
type Stats struct {
	Appends     int // appends that took effect
	Records     int // records appended
	Reads       int
	Refused     int // appends that failed without effect: outage, rate, or the end of the call
	LostReplies int // replies lost after the append took effect
	PeakAppends int // most appends within one second
}

// NewMemory returns an empty log.
func NewMemory(options Options) *Memory {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	limit := rate.Inf
	if options.AppendsPerSecond > 0 {
		limit = rate.Limit(options.AppendsPerSecond)
	}
	return &Memory{
		options: options,
		clock:   options.Clock,
		faults:  fault.NewSet(options.Clock, options.Seed),
		limiter: rate.NewLimiter(limit, max(1, options.AppendsPerSecond)),
		streams: make(map[string]*stream),
	}
}

// Faults returns the log's faults: Outage, Hang, Slow and LostReply.
func (m *Memory) Faults() *fault.Set {
	return m.faults
}

// Append implements platformclient.Log.
func (m *Memory) Append(ctx context.Context, name string, records [][]byte) (platformclient.Offset, error) {
	if err := m.triggerFaults(ctx); err != nil {
		m.countRefused()
		return 0, &platformclient.AppendError{Cause: err}
	}
	if !m.limiter.AllowN(m.clock.Now(), 1) {
		m.countRefused()
		return 0, &platformclient.AppendError{Cause: ErrRate}
	}
	offset := m.append(name, records)
	if _, lost := m.faults.Trigger(fault.LostReply); lost {
		m.mu.Lock()
		m.stats.LostReplies++
		m.mu.Unlock()
		return 0, &platformclient.AppendError{MayHaveAppended: true, Cause: ErrLostReply}
	}
	return offset, nil
}

// triggerFaults triggers the faults that precede a call.
func (m *Memory) triggerFaults(ctx context.Context) error {
	if _, down := m.faults.Trigger(fault.Outage); down {
		return ErrOutage
	}
	if _, hangs := m.faults.Trigger(fault.Hang); hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	slow, isSlow := m.faults.Trigger(fault.Slow)
	if !isSlow {
		return ctx.Err()
	}
	select {
	case <-m.clock.After(slow.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Memory) countRefused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Refused++
}

func (m *Memory) append(name string, records [][]byte) platformclient.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	s := m.streamLocked(name)
	offset := s.end()
	for i, data := range records {
		record := platformclient.Record{Offset: offset + platformclient.Offset(i), At: now, Data: bytes.Clone(data)}
		s.records = append(s.records, record)
		s.all = append(s.all, record)
	}
	m.countAppendLocked(now, len(records))
	m.expireLocked(s, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

func (m *Memory) countAppendLocked(now time.Time, records int) {
	m.stats.Appends++
	m.stats.Records += records
	m.recent = append(m.recent, now)
	m.recent = slices.DeleteFunc(m.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	m.stats.PeakAppends = max(m.stats.PeakAppends, len(m.recent))
}

func (m *Memory) streamLocked(name string) *stream {
	s, ok := m.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		m.streams[name] = s
	}
	return s
}

func (s *stream) end() platformclient.Offset {
	return s.first + platformclient.Offset(len(s.records))
}

// expireLocked drops expired records.
func (m *Memory) expireLocked(s *stream, now time.Time) {
	drop := 0
	if keep := m.options.KeepRecords; keep > 0 && len(s.records) > keep {
		drop = len(s.records) - keep
	}
	if keep := m.options.KeepFor; keep > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].At) > keep {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.first += platformclient.Offset(drop)
}

// Read implements platformclient.Log.
func (m *Memory) Read(ctx context.Context, name string, from platformclient.Offset, limit int, wait time.Duration) (platformclient.Page, error) {
	if err := m.triggerFaults(ctx); err != nil {
		return platformclient.Page{}, err
	}
	var timeout <-chan time.Time
	if wait > 0 {
		timeout = m.clock.After(wait)
	}
	for {
		page, appended, err := m.read(name, from, limit)
		if err != nil || len(page.Records) > 0 || timeout == nil {
			return page, err
		}
		select {
		case <-appended:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return platformclient.Page{}, ctx.Err()
		}
	}
}

func (m *Memory) read(name string, from platformclient.Offset, limit int) (platformclient.Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Reads++
	s := m.streamLocked(name)
	m.expireLocked(s, m.clock.Now())
	page := platformclient.Page{First: s.first, End: s.end()}
	if from < s.first {
		return page, nil, platformclient.ErrExpired
	}
	if from < page.End {
		rest := s.records[from-s.first:]
		page.Records = slices.Clone(rest[:min(len(rest), max(limit, 0))])
	}
	return page, s.appended, nil
}

// Stats returns the counts so far.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// All returns every record ever appended to a stream, including expired ones.
func (m *Memory) All(name string) []platformclient.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.streams[name]
	if !ok {
		return nil
	}
	return slices.Clone(s.all)
}

// Streams returns the names of all streams in order.
func (m *Memory) Streams() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.streams))
	for name := range m.streams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
