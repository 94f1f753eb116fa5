package router

import (
	"context"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
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
)

// streamOrigins implements forward.Origins.
type streamOrigins struct {
	r     *Router
	begun chan struct{} // signals streams to save; buffers one

	savesMu   sync.Mutex                    // guards the fields below; leaf
	waiting   map[origins.Key]waitingStream // of this router
	asked     map[string][]origins.Key      // streams of other routers that are to be confirmed, by their address
	waitAfter time.Time

	log      storeRead  // of the begun streams
	registry storeRead  // of the versions in the registry
	nextMu   sync.Mutex // guards next; held during a read of the log, for which only that read and readFromStart wait
	next     int64      // offset in the log
}

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
