package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/stoatmount/stoatmount/process/invariant"
)

// drainState is how far a process is on its way out.
type drainState struct {
	stage atomic.Int32
}

// The stages of a shutdown.
const (
	stageServing  = int32(iota)
	stageLeaving  // no longer named to callers, duties move away
	stageRefusing // new work is refused
)

func (d *drainState) leaving() bool  { return d.stage.Load() >= stageLeaving }
func (d *drainState) refusing() bool { return d.stage.Load() >= stageRefusing }

// Start starts the process. It returns at once.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.readList(ctx, n.clock.Now())
	n.wg.Go(func() { n.logEnd("peers", n.peers.Serve(n.listen.peer)) })
	n.wg.Go(func() { n.logEnd("callers", n.callers.Serve(n.listen.caller)) })
	n.wg.Go(func() { n.logEnd("operators", n.serveOperators(ctx)) })
	n.startLoops(ctx)
	n.log.Info("started", "zone", n.self.Zone, "region", n.self.Region,
		"callers", n.self.Caller.String(), "peers", n.self.Peer.String())
}

func (n *Node) logEnd(what string, err error) {
	if err != nil {
		n.log.Error(err, "listener ended", "listener", what)
	}
}

// Shutdown ends the process without cutting off work: it stops being named to
// callers, serves until kept addresses have run out, then refuses new work
// and waits for what is in progress. It gives up waiting when ctx ends.
func (n *Node) Shutdown(ctx context.Context) {
	n.drain.stage.Store(stageLeaving)
	n.members.SetDraining(n.clock.Now(), true)
	n.log.Info("leaving", "in_progress", n.inProgress.Load())
	n.sleep(ctx, n.keptAddresses())
	n.drain.stage.Store(stageRefusing)
	n.log.Info("refusing new work", "in_progress", n.inProgress.Load())
	n.waitIdle(ctx)
	left := n.inProgress.Load()
	n.check.Check(left == 0, invariant.NothingCutOff, func() string { return "requests in progress at the end of the shutdown" })
	_ = n.callers.Shutdown(ctx)
	n.lastBurn()
	n.Close()
}

// idleCheck is the time between two looks at the requests in progress.
const idleCheck = 20 * time.Millisecond

// waitIdle waits until no request is in progress.
func (n *Node) waitIdle(ctx context.Context) {
	for n.inProgress.Load() > 0 && ctx.Err() == nil {
		n.sleep(ctx, idleCheck)
	}
}

// keptAddresses is how long callers may keep an address answer, and at least
// as long as the duties of this router need to move.
func (n *Node) keptAddresses() time.Duration {
	kept := n.settings.Limits.Drain.Std()
	if snapshot := n.follower.Snapshot(); snapshot != nil {
		kept = min(kept, snapshot.Config.Limits.AddressTTL.Std())
	}
	return max(kept, 2*n.settings.Member.Promise.Std())
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.clock.After(d):
	}
}

// lastBurn hands the counters to their keepers.
func (n *Node) lastBurn() {
	view := n.members.View()
	if view == nil {
		return
	}
	for _, send := range n.exchange.Final(n.clock.Now(), view) {
		n.sendBurn(send)
	}
}

// Close ends the process at once.
func (n *Node) Close() {
	if n.cancel != nil {
		n.cancel()
	}
	_ = n.callers.Close()
	n.pool.Close()
	n.ledger.Close()
	n.links.Close()
	n.peers.Stop()
	n.listen.close()
	n.endpoint.Close()
	n.logs.Close()
	n.hosts.Close()
	n.wg.Wait()
	n.log.Info("ended")
}
