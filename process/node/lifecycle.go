package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/invariant"
)

// drainState is the stage of the shutdown of a process.
type drainState struct {
	stage atomic.Int32
	end   atomic.Pointer[time.Time] // of the requests in progress, by the node's clock; nil if there is no bound
}

// The stages of a shutdown.
const (
	stageServing  = int32(iota)
	stageDraining // removed from address responses; duties move to other routers
	stageRefusing // new work is refused
)

func (d *drainState) draining() bool { return d.stage.Load() >= stageDraining }
func (d *drainState) refusing() bool { return d.stage.Load() >= stageRefusing }

// mayCut reports whether the end of the process may come before that of a request.
func (d *drainState) mayCut(deadline time.Time) bool {
	end := d.end.Load()
	return d.draining() && end != nil && deadline.After(*end)
}

// Start starts the process and returns at once.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.readHostList(ctx, n.clock.Now())
	n.wg.Go(func() { n.logListenerEnd("peers", n.peerServer.Serve(n.listen.peer)) })
	n.wg.Go(func() { n.logListenerEnd("callers", n.callerServer.Serve(n.listen.caller)) })
	n.wg.Go(func() { n.logListenerEnd("operators", n.serveOperators(ctx)) })
	n.startLoops(ctx)
	n.log.Info("started", "zone", n.self.Zone, "region", n.self.Region,
		"callers", n.self.Caller.String(), "peers", n.self.Peer.String())
}

func (n *Node) logListenerEnd(what string, err error) {
	if err != nil {
		n.log.Error(err, "listener ended", "listener", what)
	}
}

// Shutdown stops the process without interrupting requests: it is removed from address responses and
// serves until cached addresses have expired, at most for half of the time until the deadline of ctx, what is
// complete by then or what no other router takes. Then it refuses new work and waits for requests in
// progress. When ctx ends, they are ended; those whose response has not begun get one that does not promise
// that they have not run.
func (n *Node) Shutdown(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		end = n.clock.Now().Add(time.Until(end))
		n.drain.end.Store(&end)
	}
	n.drain.stage.Store(stageDraining)
	n.callerServer.StartDrain()
	n.members.SetDraining(n.clock.Now(), true)
	n.log.Info("leaving", "in_progress", n.inProgress.Load())
	n.sleep(ctx, n.drainTime(ctx))
	n.drain.stage.Store(stageRefusing)
	n.log.Info("refusing new work", "in_progress", n.inProgress.Load())
	n.waitIdle(ctx)
	left := n.inProgress.Load()
	n.invariants.Check(left == 0, invariant.NoRequestCutOff, func() string { return "requests in progress at the end of the shutdown" })
	if left > 0 {
		n.log.Info("ending the requests in progress", "in_progress", left)
		n.endRequests(errProcessEnds)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), answerTime)
		defer cancel()
	}
	n.callerServer.Shutdown(ctx, n.drainingRefusal(n.clock.Now()))
	n.flushBurn()
	n.Close()
}

// answerTime bounds the responses to requests that the end of the process ends.
const answerTime = 250 * time.Millisecond

// errProcessEnds ends the requests that are in progress at the end of a shutdown.
var errProcessEnds = errors.New("the process ends")

// endWithProcess returns a context that also ends with endRequests, and a function that releases it.
func (n *Node) endWithProcess(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(n.ending, func() { cancel(errProcessEnds) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// idlePollInterval is the interval at which requests in progress are checked.
const idlePollInterval = 20 * time.Millisecond

// waitIdle waits until no request is in progress.
func (n *Node) waitIdle(ctx context.Context) {
	for n.inProgress.Load() > 0 && ctx.Err() == nil {
		n.sleep(ctx, idlePollInterval)
	}
}

// drainTime is how long callers may cache an address response, at most the Drain limit and
// at least two binding leases (Promise), the time that the duties of this router need to move. Requests that
// are taken in that time need the other half of the time until the deadline of ctx.
func (n *Node) drainTime(ctx context.Context) time.Duration {
	drain := n.settings.Limits.Drain.Std()
	if snapshot := n.follower.Snapshot(); snapshot != nil {
		drain = min(drain, snapshot.Config.Limits.AddressTTL.Std())
	}
	drain = max(drain, 2*n.settings.Member.Promise.Std())
	if end, ok := ctx.Deadline(); ok {
		drain = min(drain, time.Until(end)/2)
	}
	return drain
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.clock.After(d):
	}
}

// flushBurn sends the burn counters to their replicas.
func (n *Node) flushBurn() {
	view := n.members.View()
	if view == nil {
		return
	}
	for _, send := range n.replicator.FinalTransfers(n.clock.Now(), view) {
		n.sendBurn(send)
	}
}

// Close stops the process immediately.
func (n *Node) Close() {
	if n.cancel != nil {
		n.cancel()
	}
	_ = n.callerServer.Close()
	n.pool.Close()
	n.ledger.Close()
	n.links.Close()
	n.peerServer.Stop()
	n.listen.close()
	n.endpointClient.Close()
	n.logClient.Close()
	n.hostListClient.Close()
	n.wg.Wait()
	n.log.Info("ended")
}
