package router

import (
	"context"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/peers"
)

const (
	// saveBegunInterval is the pause between writes of the streams that the routers began.
	saveBegunInterval = 50 * time.Millisecond
	// sendBegunInterval is the pause between the datagrams to the router that saves them.
	sendBegunInterval = 10 * time.Millisecond
	// confirmTimeout is how long a router waits for the one that saves its streams, which may
	// have failed, before it saves them itself: longer than saveBegunInterval and a write.
	confirmTimeout = 90 * time.Millisecond
	// maxSaveWait bounds how long the first event of a stream waits until the stream is saved,
	// below the delay at which an event counts as late. After a wait that was in vain, none is
	// made for saveWaitPause.
	maxSaveWait   = 140 * time.Millisecond
	saveWaitPause = 500 * time.Millisecond
	// saveBegunRetry is the pause after a write that failed.
	saveBegunRetry = 300 * time.Millisecond
	// maxAsked bounds the streams of another router that wait for a confirmation.
	maxAsked = 1024
	// freshProcessTime is how long after its start a process reads the saved streams before it
	// asks the others, which may have started as well.
	freshProcessTime = 30 * time.Second
	// loadBegunInterval is the pause between reads of the streams that were saved.
	loadBegunInterval = 200 * time.Millisecond
	// loadBegunTimeout bounds such a read, for which a request waits.
	loadBegunTimeout = 250 * time.Millisecond
)

// streamOrigins implements forward.Origins.
type streamOrigins struct {
	r     *Router
	begun chan struct{} // signals streams to save; buffers one

	savesMu   sync.Mutex                    // guards the fields below; leaf
	waiting   map[origins.Key]waitingStream // of this router
	asked     map[string][]origins.Key      // streams of other routers that are to be confirmed, by their address
	waitAfter time.Time

	loadMu   sync.Mutex // held during a read of the store, so that requests share it
	log      storeRead  // of the log of begun streams
	registry storeRead
	next     int64 // offset in the log
}

// storeRead is when something was read from the store.
type storeRead struct{ attempted, succeeded time.Time }

// isFresh reports whether requests use the last read in place of another one.
func (r *storeRead) isFresh() bool { return time.Since(r.succeeded) < loadBegunInterval }

// isDue reports whether to attempt another read.
func (r *storeRead) isDue() bool { return time.Since(r.attempted) >= loadBegunInterval }

// waitingStream is a stream whose first event waits until it is saved.
type waitingStream struct {
	origins.Origin
	since time.Time
	saved chan struct{} // closed once it is saved
}

func newStreamOrigins(r *Router) *streamOrigins {
	return &streamOrigins{r: r, begun: make(chan struct{}, 1), waiting: make(map[origins.Key]waitingStream), asked: make(map[string][]origins.Key)}
}

// Begin implements forward.Origins. While the service has several versions, it waits until the
// stream is saved, so that each stream of which a caller has an event is known after all
// routers were lost.
func (s *streamOrigins) Begin(ctx context.Context, k origins.Key, o origins.Origin) {
	now := time.Now()
	s.r.origins.Begin(now, k, o)
	if !s.r.origins.SeveralVersions(o.Service) {
		return
	}
	saved := make(chan struct{})
	s.savesMu.Lock()
	wait := !now.Before(s.waitAfter)
	if wait {
		s.waiting[k] = waitingStream{Origin: o, since: now, saved: saved}
	}
	s.savesMu.Unlock()
	s.wakeSaver()
	if !wait {
		return
	}
	defer time.AfterFunc(confirmTimeout, s.wakeSaver).Stop()
	timeout := time.NewTimer(maxSaveWait)
	defer timeout.Stop()
	inVain := false
	select {
	case <-saved:
	case <-ctx.Done():
	case <-timeout.C:
		inVain = true
		s.r.log.Info("begun stream not saved in time", "stream", uint64(k), "waited_ms", maxSaveWait.Milliseconds())
	}
	s.savesMu.Lock()
	defer s.savesMu.Unlock()
	delete(s.waiting, k)
	if inVain {
		s.waitAfter = time.Now().Add(saveWaitPause)
	}
}

// merge records streams that other routers began.
func (s *streamOrigins) merge(now time.Time, list []origins.Begun) {
	s.r.origins.Merge(now, list)
	for _, b := range list {
		if s.r.origins.SeveralVersions(b.Service) {
			s.wakeSaver()
			return
		}
	}
}

// onBegun records streams that another router wants to be saved, and confirmed.
func (s *streamOrigins) onBegun(now time.Time, list []origins.Begun, from string) {
	s.merge(now, list) // before they are confirmed with what is saved then
	s.savesMu.Lock()
	for _, b := range list {
		if len(s.asked[from]) < maxAsked {
			s.asked[from] = append(s.asked[from], b.Streams...)
		}
	}
	s.savesMu.Unlock()
	s.wakeSaver()
}

// onSaved ends the wait for streams of this router that were saved.
func (s *streamOrigins) onSaved(saved []origins.Key) {
	s.savesMu.Lock()
	defer s.savesMu.Unlock()
	for _, k := range saved {
		if w, ok := s.waiting[k]; ok {
			close(w.saved)
			delete(s.waiting, k)
		}
	}
}

// takeAsked returns the streams that wait to be saved, those of other routers by address.
func (s *streamOrigins) takeAsked() (own []origins.Key, asked map[string][]origins.Key) {
	s.savesMu.Lock()
	defer s.savesMu.Unlock()
	for k := range s.waiting {
		own = append(own, k)
	}
	asked, s.asked = s.asked, make(map[string][]origins.Key)
	return own, asked
}

// wakeSaver makes save look for streams to save.
func (s *streamOrigins) wakeSaver() {
	select {
	case s.begun <- struct{}{}:
	default:
	}
}

// Find implements forward.Origins. It asks the other routers about a stream that this one
// does not know, and reads the saved ones if not all answer.
func (s *streamOrigins) Find(ctx context.Context, k origins.Key, services []string) (origins.Origin, bool) {
	r := s.r
	own := r.answer(time.Now(), k, services)
	// What the others have seen may have been restored as well, without a version of before.
	if own.Origin == nil && (len(own.Seen) > 1 || !own.Complete) && time.Since(r.startedAt) < freshProcessTime && s.load(ctx, false) {
		own = r.answer(time.Now(), k, services)
	}
	if own.Origin != nil {
		return *own.Origin, true
	}
	var others []origins.Answer
	if r.exchange != nil {
		others = r.exchange.Ask(ctx, peers.OriginQuery{Stream: k, Services: services})
	}
	for _, a := range others {
		if a.Origin != nil {
			return *a.Origin, true
		}
	}
	o, sole := origins.Combine(append(others, own))
	if sole && len(others) >= r.members()-1 {
		return o, true
	}
	// A router that does not answer, or an earlier process of one that does, may have begun
	// it, at a version that none of these has seen.
	if !s.load(ctx, sole) {
		return origins.Origin{}, false
	}
	if own = r.answer(time.Now(), k, services); own.Origin != nil {
		return *own.Origin, true
	}
	all := append(others, own)
	if o, sole := origins.Combine(all); sole {
		return o, true
	}
	return origins.CombineBefore(all)
}

// load reads the streams that were saved and, with registry, the versions that are in the
// registry now. It reports whether all was read within the last loadBegunInterval, in which
// requests share one attempt.
func (s *streamOrigins) load(ctx context.Context, registry bool) bool {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, loadBegunTimeout)
	defer cancel()
	s.readOnce(ctx, &s.log, s.loadBegun)
	if registry && s.log.isFresh() {
		s.readOnce(ctx, &s.registry, s.loadVersions)
	}
	return s.log.isFresh() && (!registry || s.registry.isFresh())
}

// readOnce attempts a read if it is due. The caller holds loadMu.
func (s *streamOrigins) readOnce(ctx context.Context, state *storeRead, read func(context.Context) error) {
	if !state.isDue() {
		return
	}
	state.attempted = time.Now()
	if err := read(ctx); err != nil {
		s.r.log.Info("loading begun streams failed", "error", err.Error())
		return
	}
	state.succeeded = time.Now()
}

// readFromStart makes the next read begin at the oldest saved stream, as the log came back
// from an older copy, in which offsets were given out again.
func (s *streamOrigins) readFromStart() {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	s.next = 0
}

func (s *streamOrigins) loadBegun(ctx context.Context) error {
	list, next, err := s.r.adapter.LoadBegun(ctx, s.next)
	if err != nil {
		return err
	}
	s.next = next
	s.r.origins.MergeSaved(time.Now(), list)
	s.r.origins.ConfirmRestored()
	return nil
}

// loadVersions observes the versions of all entries in the registry, which this router may
// not have read yet.
func (s *streamOrigins) loadVersions(ctx context.Context) error {
	page, err := s.r.adapter.Topic(Endpoints).Newest(ctx)
	if err != nil {
		return err
	}
	var present []origins.Origin
	for _, record := range page.Records {
		// An entry that cannot be decoded names no endpoint; the follower logs it.
		if c, err := s.r.adapter.DecodeEndpoint(record); err == nil && c.Entry != nil {
			present = append(present, origins.Origin{Service: c.Entry.Service, Version: c.Entry.Version})
		}
	}
	s.r.origins.Observe(time.Now(), present)
	return nil
}

// save saves the begun streams of all routers if this is the router for that, and otherwise
// sends it those of this router at once.
func (s *streamOrigins) save(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.begun:
		}
		step, pause := s.saveAll, saveBegunInterval
		if s.sendToSaver(time.Now()) {
			step, pause = s.saveUnconfirmed, sendBegunInterval
		}
		if err := step(ctx); err != nil {
			s.r.log.Info("saving begun streams failed", "error", err.Error())
			pause = saveBegunRetry
			s.wakeSaver()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// sendToSaver sends the streams that this router began to the router that saves them. It returns
// false if that is this one.
func (s *streamOrigins) sendToSaver(now time.Time) bool {
	r := s.r
	own := r.origins.TakeOwn()
	if r.exchange == nil {
		return false
	}
	saver, other := r.peers.StreamSaver(now)
	if !other {
		return false
	}
	s.takeAsked() // routers that take this one for the saver go on without a confirmation
	if len(own) > 0 {
		r.exchange.SendBegun(own, saver)
	}
	return true
}

// saveUnconfirmed saves the streams of this router that the one for that has not confirmed in time.
func (s *streamOrigins) saveUnconfirmed(ctx context.Context) error {
	var list []origins.Begun
	var streams []origins.Key
	s.savesMu.Lock()
	for k, w := range s.waiting {
		if time.Since(w.since) >= confirmTimeout {
			list = append(list, origins.Begun{Origin: w.Origin, Streams: []origins.Key{k}})
			streams = append(streams, k)
		}
	}
	s.savesMu.Unlock()
	if len(list) == 0 {
		return nil
	}
	if err := s.append(ctx, list); err != nil {
		return err
	}
	s.onSaved(streams)
	return nil
}

// saveAll saves the begun streams of all routers, and confirms that to those that wait.
func (s *streamOrigins) saveAll(ctx context.Context) error {
	r := s.r
	waiting, asked := s.takeAsked()
	for more := true; more; {
		var list []origins.Begun
		var end int64
		list, end, more = r.origins.Unsaved(time.Now())
		if len(list) > 0 {
			if err := s.append(ctx, list); err != nil {
				return err
			}
		}
		r.origins.Saved(end)
	}
	s.onSaved(waiting)
	for addr, streams := range asked {
		r.exchange.SendSaved(streams, addr)
	}
	return nil
}

func (s *streamOrigins) append(ctx context.Context, list []origins.Begun) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.r.adapter.SaveBegun(ctx, list)
}

// answer returns what this router knows of a stream.
func (r *Router) answer(now time.Time, k origins.Key, services []string) origins.Answer {
	r.origins.Observe(now, r.endpoints.Versions())
	a := r.origins.Answer(now, k, services)
	a.Router = r.s.Name
	return a
}

func (r *Router) onQuery(now time.Time, q peers.OriginQuery) origins.Answer {
	return r.answer(now, q.Stream, q.Services)
}
