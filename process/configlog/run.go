package configlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/platformclient"
)

const (
	// readLimit is the number of records asked for in one read.
	readLimit = 512
	// retryAfter is the pause after a read that failed.
	retryAfter = 250 * time.Millisecond
	// peerTimeout bounds one question to a peer.
	peerTimeout = time.Second
	// checkpointSpread spreads the time of the next checkpoint, so that
	// seldom two routers append one. It is a share of CheckpointEvery.
	checkpointSpread = 0.5
)

// errNoStart says that the log no longer holds a starting point.
var errNoStart = errors.New("the log holds no checkpoint from which the configuration can be folded")

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.Poll(ctx, f.opt.Poll)
		if err != nil && ctx.Err() == nil {
			f.opt.Logger.V(1).Info("config stream cannot be read", "error", err.Error())
			f.pullInstead(ctx)
			f.pause(ctx, retryAfter)
		}
		f.AppendCheckpoint(ctx)
	}
}

// pullInstead asks peers while the log cannot be read.
func (f *Follower) pullInstead(ctx context.Context) {
	if f.Ready() {
		f.PullPeer(ctx)
		return
	}
	f.BootstrapFromPeers(ctx)
}

// RunPeers pulls from peers whenever gossip tells of newer records, until ctx
// ends. It runs beside Run, which may be waiting for a log that is down.
func (f *Follower) RunPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			f.PullPeer(ctx)
			f.pause(ctx, retryAfter)
		}
	}
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.opt.Clock.After(d):
	}
}

// Poll reads the stream once, from where the fold is to the end, and waits up
// to wait for records.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	for {
		asked := f.opt.Clock.Now()
		from := f.readFrom()
		page, err := f.opt.Log.Read(ctx, platformclient.StreamConfig, from, readLimit, wait)
		if errors.Is(err, platformclient.ErrExpired) {
			if err := f.skipExpired(page.First); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		atEnd, err := f.takeLogPage(page, asked)
		if err != nil || atEnd {
			return err
		}
		wait = 0
	}
}

// readFrom returns the offset of the next record to read.
func (f *Follower) readFrom() platformclient.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fold != nil {
		return f.fold.Next()
	}
	if n := len(f.start.held); n > 0 {
		return f.start.held[n-1].Offset + 1
	}
	return max(f.start.first, 1)
}

// skipExpired starts anew from the oldest record. Records that expired before
// this router read them are made up for by a checkpoint.
func (f *Follower) skipExpired(first platformclient.Offset) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if first <= f.start.first {
		return errors.Errorf("the log says that offset %d has expired", first)
	}
	f.start = starter{first: first}
	f.fold = nil
	return nil
}

// takeLogPage applies a page that was asked for at asked. It reports whether
// the end of the stream was reached.
func (f *Follower) takeLogPage(page platformclient.Page, asked time.Time) (bool, error) {
	if err := f.apply(page.Records, f.opt.Clock.Now()); err != nil {
		return false, err
	}
	next := f.readFrom()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerEnd = max(f.peerEnd, page.End)
	if next < page.End {
		return false, nil
	}
	if f.fold == nil && next == 1 {
		f.fold = NewFold() // nothing has ever been appended
	}
	if f.fold == nil {
		f.openGap()
		return false, errNoStart
	}
	f.logEnd = asked
	f.fresh.AddEvidence(asked, page.End, f.fold.Next())
	f.signalAdvanced()
	return true, nil
}

// PullPeer asks one peer, chosen at random, for what is newer than the own
// state.
func (f *Follower) PullPeer(ctx context.Context) {
	if f.opt.Peers == nil {
		return
	}
	members, _ := f.opt.Peers.Members()
	if len(members) == 0 {
		return
	}
	f.mu.Lock()
	member := members[f.opt.Rand.IntN(len(members))]
	next := f.nextLocked()
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	page, err := f.opt.Peers.Pull(ctx, member.Name, next)
	if err == nil {
		err = f.ApplyPage(page)
	}
	if err != nil {
		f.opt.Logger.V(1).Info("peer gave no config records", "peer", member.Name, "error", err.Error())
	}
}

// planCheckpoint sets the time of the next checkpoint after one was seen.
func (f *Follower) planCheckpoint(now time.Time) {
	spread := 1 + checkpointSpread*f.opt.Rand.Float64()
	f.due = now.Add(time.Duration(spread * float64(f.opt.CheckpointEvery)))
}

// CheckpointDue reports whether a checkpoint should be appended at now.
func (f *Follower) CheckpointDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.halted != nil || f.fold == nil || f.fold.Next() == 1 {
		return false
	}
	if f.due.IsZero() {
		f.planCheckpoint(now)
	}
	return f.fold.SinceCheckpoint() >= f.opt.CheckpointAfter || !now.Before(f.due)
}

// AppendCheckpoint appends a checkpoint if one is due. Two routers that do so
// at once do no harm.
func (f *Follower) AppendCheckpoint(ctx context.Context) {
	now := f.opt.Clock.Now()
	if !f.CheckpointDue(now) {
		return
	}
	f.mu.Lock()
	checkpoint := f.fold.Checkpoint()
	f.planCheckpoint(now)
	f.mu.Unlock()
	data, err := encodeCheckpoint(checkpoint)
	if err == nil {
		_, err = f.opt.Log.Append(ctx, platformclient.StreamConfig, [][]byte{data})
	}
	if err != nil {
		f.opt.Logger.Error(err, "config checkpoint was not appended")
	}
}
