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
	// entryStreams is the largest number of concurrent streams.
	entryStreams = 400
	// entryTokenInterval is the time between two tokens of a stream.
	entryTokenInterval = 42 * time.Millisecond
	// entryTokens is the length of a stream, longer than the whole measurement.
	entryTokens = 2000
	// entryMeasureTime is the time over which tokens are counted.
	entryMeasureTime = 5 * time.Second
	// entryRequests is the number of short requests that are measured.
	entryRequests = 1000
	startTimeout  = 30 * time.Second
)

// requestPath is a path of requests to the engine: through the router or direct.
// The difference of the two is the overhead of the router.
type requestPath struct {
	url    string
	header http.Header
	client *http.Client
	lastID atomic.Int64
}

// MeasureEntry measures an entry: one router with one engine stand-in, on real
// sockets, minus the same requests sent to the stand-in directly.
func MeasureEntry(ctx context.Context) (Measurement, error) {
	m := newMeasurement("entry")
	running, err := startEntry(ctx)
	if err != nil {
		return m, err
	}
	defer running.Close()
	routed := newRequestPath("http://"+running.CallerAddresses()[0]+caller.PathChat, http.Header{
		caller.HeaderWorkspace: {"w"}, caller.HeaderKind: {"k"},
	})
	direct := newRequestPath("http://"+running.Site.Config.Endpoints[0].Address.String()+protocol.PathChat, http.Header{})
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
			// A group of one endpoint is always at its mean, which must not limit the streams.
			MeanMultiple: entryStreams, LedgerWindow: config.Duration(time.Minute), LedgerShards: 1, CrashLimit: 2,
			AddressTTL: config.Duration(time.Minute), WeightLoadsPerMinute: 6, LoadLag: config.Duration(time.Second),
		},
	}
	running, err := fleet.Start(fleet.Options{
		Config: cfg, Routers: 1, Log: logr.Discard(), Seed: seed,
		Site: testbed.Options{Seed: seed, Engine: engine.Options{TokenTime: entryTokenInterval}},
	})
	if err != nil {
		return nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := running.Push(starting); err != nil {
		running.Close()
		return nil, err
	}
	return running, nil
}

func newRequestPath(url string, header http.Header) *requestPath {
	transport := &http.Transport{MaxIdleConnsPerHost: entryStreams}
	return &requestPath{url: url, header: header, client: &http.Client{Transport: transport}}
}

// send starts a request and returns its response.
func (w *requestPath) send(ctx context.Context, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"one two three"}]}`, stream, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header = w.header.Clone()
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(protocol.HeaderRequestID, fmt.Sprintf("measured-%d", w.lastID.Add(1)))
	response, err := w.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return nil, errors.Errorf("%s returned %s: %s", w.url, response.Status, text)
	}
	return response, nil
}

// requestCPUTime returns the CPU time, in microseconds, of a request with one
// token, including that of the caller and the stand-in.
func (w *requestPath) requestCPUTime(ctx context.Context) (float64, error) {
	var failed error
	used := cpuTime(func() {
		var callers conc.WaitGroup
		const concurrency = 20
		for range concurrency {
			callers.Go(func() {
				for range entryRequests / concurrency {
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

func (m *Measurement) addRequests(ctx context.Context, routed, direct *requestPath) error {
	// The first round opens the connections.
	for range 2 {
		routedTime, err := routed.requestCPUTime(ctx)
		if err != nil {
			return err
		}
		directTime, err := direct.requestCPUTime(ctx)
		if err != nil {
			return err
		}
		m.Series = []Series{{Name: "processor_per_request", Unit: "µs", Per: "requests", Points: []Point{{Size: 1, Value: routedTime - directTime}}}}
	}
	return nil
}

// streamFigures are the memory and the CPU time of open streams.
type streamFigures struct {
	memory   float64 // bytes
	perToken float64 // microseconds
}

func (w *requestPath) measureStreams(ctx context.Context, n int) (streamFigures, error) {
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
	used := cpuTime(func() { time.Sleep(entryMeasureTime) })
	counted = tokens.Load() - counted
	cancel()
	readers.Wait()
	if counted == 0 {
		return streamFigures{}, errors.New("no token received")
	}
	return streamFigures{memory: memory, perToken: used.Seconds() / float64(counted) * 1e6}, nil
}

// liveMemory returns the bytes of live heap objects and of all stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func (m *Measurement) addStreams(ctx context.Context, routed, direct *requestPath) error {
	memory := Series{Name: "stream_bytes", Unit: "B", Per: "streams"}
	perToken := Series{Name: "processor_per_token", Unit: "µs", Per: "tokens"}
	for _, n := range []int{entryStreams / 8, entryStreams / 4, entryStreams / 2, entryStreams} {
		routedStreams, err := routed.measureStreams(ctx, n)
		if err != nil {
			return err
		}
		directStreams, err := direct.measureStreams(ctx, n)
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, Point{Size: float64(n), Value: routedStreams.memory - directStreams.memory})
		// The largest number of streams has the smallest share of background work.
		perToken.Points = []Point{{Size: 1, Value: routedStreams.perToken - directStreams.perToken}}
	}
	m.Series = append(m.Series, memory, perToken)
	return nil
}
