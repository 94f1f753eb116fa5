package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// entryStreams is the largest number of streams at a time.
	entryStreams = 400
	// entryGap is the time between two tokens of a stream.
	entryGap = 42 * time.Millisecond
	// entryTokens is the length of a stream, enough for the whole measurement.
	entryTokens = 2000
	// entryWindow is the time over which tokens are counted.
	entryWindow = 5 * time.Second
	// entryRequests is the number of short requests that are timed.
	entryRequests = 1000
	startTime     = 30 * time.Second
)

// way is how requests reach the engine: through the router or directly. The
// difference of the two is what the router takes.
type way struct {
	url    string
	header http.Header
	client *http.Client
	number atomic.Int64
}

// MeasureEntry measures an entry: one router before one engine stand-in, on
// real sockets, less the same requests sent to the stand-in directly.
func MeasureEntry(ctx context.Context) (Measurement, error) {
	m := newMeasurement("entry")
	running, err := startEntry(ctx)
	if err != nil {
		return m, err
	}
	defer running.Close()
	routed := newWay("http://"+running.CallerAddresses()[0]+caller.PathChat, http.Header{
		caller.HeaderWorkspace: {"w"}, caller.HeaderKind: {"k"},
	})
	direct := newWay("http://"+running.Site.Config.Endpoints[0].Address.String()+protocol.PathChat, http.Header{})
	if err := m.addRequests(ctx, routed, direct); err != nil {
		return m, err
	}
	return m, m.addStreams(ctx, routed, direct)
}

func startEntry(ctx context.Context) (*fleet.Fleet, error) {
	long := config.Duration(24 * time.Hour)
	cfg := config.Config{
		Zones:     []config.Zone{{Name: "a", Region: "r"}},
		Models:    []config.Model{{Name: "m", Version: "v1", PrefillPerSecond: 1_000_000}},
		Endpoints: []config.Endpoint{{Name: "e", Zone: "a", Model: "m", Capacity: 2 * entryStreams, ColdCapacity: 2 * entryStreams, CacheTokens: 1 << 20}},
		Kinds: []config.Kind{{
			Name: "k", Model: "m", Worth: 1, FullUntil: config.Duration(time.Second), Deadline: long, FirstByte: long, BetweenBytes: long, Objective: 0.9,
		}},
		Workspaces: []config.Workspace{{Name: "w", Share: 1}},
		Limits: config.Limits{
			// One endpoint alone is always at its mean.
			MeanMultiple: entryStreams, LedgerWindow: config.Duration(time.Minute), LedgerShards: 1, CrashLimit: 2,
			AddressTTL: config.Duration(time.Minute), WeightLoadsPerMinute: 6, LoadLag: config.Duration(time.Second),
		},
	}
	running, err := fleet.Start(fleet.Options{
		Config: cfg, Routers: 1, Log: logr.Discard(), Seed: seed,
		Site: testbed.Options{Seed: seed, Engine: engine.Options{TokenTime: entryGap}},
	})
	if err != nil {
		return nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := running.Push(starting); err != nil {
		running.Close()
		return nil, err
	}
	return running, nil
}

func newWay(url string, header http.Header) *way {
	transport := &http.Transport{MaxIdleConnsPerHost: entryStreams}
	return &way{url: url, header: header, client: &http.Client{Transport: transport}}
}

// send starts a request and returns its answer.
func (w *way) send(ctx context.Context, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"one two three"}]}`, stream, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header = w.header.Clone()
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(protocol.HeaderRequestID, fmt.Sprintf("measured-%d", w.number.Add(1)))
	response, err := w.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return nil, errors.Errorf("%s answered %s: %s", w.url, response.Status, text)
	}
	return response, nil
}

// requestTime returns the processor time of a request with one token,
// including that of the caller and the stand-in.
func (w *way) requestTime(ctx context.Context) (float64, error) {
	var failed error
	used := processorTime(func() {
		var callers conc.WaitGroup
		const atOnce = 20
		for range atOnce {
			callers.Go(func() {
				for range entryRequests / atOnce {
					response, err := w.send(ctx, 1, false)
					if err != nil {
						failed = err
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
		callers.Wait()
	})
	return used.Seconds() / entryRequests * 1e6, failed
}

func (m *Measurement) addRequests(ctx context.Context, routed, direct *way) error {
	// The first round opens the connections.
	for range 2 {
		through, err := routed.requestTime(ctx)
		if err != nil {
			return err
		}
		without, err := direct.requestTime(ctx)
		if err != nil {
			return err
		}
		m.Series = []Series{{Name: "processor_per_request", Unit: "µs", Per: "requests", Points: []Point{{Size: 1, Value: through - without}}}}
	}
	return nil
}

// streamFigures are the memory and the processor time of open streams.
type streamFigures struct {
	memory   float64 // bytes
	perToken float64 // microseconds
}

func (w *way) streams(ctx context.Context, n int) (streamFigures, error) {
	streaming, cancel := context.WithCancel(ctx)
	defer cancel()
	var readers conc.WaitGroup
	var tokens atomic.Int64
	before := liveMemory()
	var open sync.WaitGroup
	var failed atomic.Pointer[error]
	for range n {
		open.Add(1)
		readers.Go(func() {
			response, err := w.send(streaming, entryTokens, true)
			open.Done()
			if err != nil {
				failed.Store(&err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "data:") {
					tokens.Add(1)
				}
			}
		})
	}
	open.Wait()
	if err := failed.Load(); err != nil {
		cancel()
		readers.Wait()
		return streamFigures{}, *err
	}
	memory := liveMemory() - before
	counted := tokens.Load()
	used := processorTime(func() { time.Sleep(entryWindow) })
	counted = tokens.Load() - counted
	cancel()
	readers.Wait()
	if counted == 0 {
		return streamFigures{}, errors.New("no token came")
	}
	return streamFigures{memory: memory, perToken: used.Seconds() / float64(counted) * 1e6}, nil
}

// liveMemory returns the bytes of the heap that are in use and of all stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func (m *Measurement) addStreams(ctx context.Context, routed, direct *way) error {
	memory := Series{Name: "stream_bytes", Unit: "B", Per: "streams"}
	perToken := Series{Name: "processor_per_token", Unit: "µs", Per: "tokens"}
	for _, n := range []int{entryStreams / 8, entryStreams / 4, entryStreams / 2, entryStreams} {
		through, err := routed.streams(ctx, n)
		if err != nil {
			return err
		}
		without, err := direct.streams(ctx, n)
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, Point{Size: float64(n), Value: through.memory - without.memory})
		// The largest number of streams has the least share of what runs anyway.
		perToken.Points = []Point{{Size: 1, Value: through.perToken - without.perToken}}
	}
	m.Series = append(m.Series, memory, perToken)
	return nil
}
