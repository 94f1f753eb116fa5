package configlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/platformclient"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 512
	// retryAfter is the pause after a failed read.
	retryAfter = 250 * time.Millisecond
	// peerTimeout bounds one request to a peer.
	peerTimeout = time.Second
	// checkpointSpread is the jitter of the time of the next checkpoint, as a
	// share of CheckpointEvery, so that two routers rarely append one together.
	checkpointSpread = 0.5
)

// errNoStart is returned when the log no longer holds a starting point.
var errNoStart = errors.New("the log holds no checkpoint or restore from which the configuration can be rebuilt")

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.Poll(ctx, f.opt.PollWait)
		if err != nil && ctx.Err() == nil {
			f.opt.Logger.V(1).Info("config stream read failed", "error", err.Error())
			f.pullFromPeers(ctx)
			f.pause(ctx, retryAfter)
		}
		f.AppendCheckpoint(ctx)
	}
}

// pullFromPeers pulls from peers while the log cannot be read.
func (f *Follower) pullFromPeers(ctx context.Context) {
	if f.Ready() {
		f.PullPeer(ctx)
		return
	}
	f.BootstrapFromPeers(ctx)
}

// RunPeers pulls from peers whenever gossip announces newer records, until ctx ends. It runs
// concurrently with Run, which may be blocked on a log that is down.
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

// Poll reads the stream once, from the next record to apply to the end. It waits
// up to wait for records.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	for {
		requestedAt := f.opt.Clock.Now()
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
		atEnd, err := f.applyLogPage(page, requestedAt)
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
	if n := len(f.start.buffered); n > 0 {
		return f.start.buffered[n-1].Offset + 1
	}
	return max(f.start.first, 1)
}

// skipExpired restarts the search for a starting point at first, the oldest
// record in the log. A later checkpoint includes the effect of expired records.
func (f *Follower) skipExpired(first platformclient.Offset) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if first <= f.start.first {
		return errors.Errorf("log reports its oldest offset %d as expired", first)
	}
	f.start = startFinder{first: first}
	f.fold = nil
	return nil
}

// applyLogPage applies a page that was requested at requestedAt. It reports
// whether the end of the stream was reached.
func (f *Follower) applyLogPage(page platformclient.Page, requestedAt time.Time) (bool, error) {
	if err := f.apply(page.Records, f.opt.Clock.Now()); err != nil {
		return false, err
	}
	next := f.readFrom()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knownEnd = max(f.knownEnd, page.End)
	if next < page.End {
		return false, nil
	}
	if f.fold == nil && next == 1 {
		f.fold = NewFold() // the stream is empty
	}
	if f.fold == nil {
		f.openGap()
		return false, errNoStart
	}
	f.logReadAt = requestedAt
	f.fresh.AddEvidence(requestedAt, page.End, f.fold.Next())
	f.signalAdvanced()
	return true, nil
}

// PullPeer requests from a random peer the records that this router lacks.
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
		f.opt.Logger.V(1).Info("pull of config records from a peer failed", "peer", member.Name, "error", err.Error())
	}
}

// planCheckpoint sets the time of the next checkpoint, counted from now.
func (f *Follower) planCheckpoint(now time.Time) {
	spread := 1 + checkpointSpread*f.opt.Rand.Float64()
	f.checkpointDue = now.Add(time.Duration(spread * float64(f.opt.CheckpointEvery)))
}

// CheckpointDue reports whether a checkpoint should be appended at now.
func (f *Follower) CheckpointDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.halted != nil || f.fold == nil || f.fold.Next() == 1 {
		return false
	}
	if f.checkpointDue.IsZero() {
		f.planCheckpoint(now)
	}
	return f.fold.SinceCheckpoint() >= f.opt.CheckpointAfter || !now.Before(f.checkpointDue)
}

// AppendCheckpoint appends a checkpoint if one is due. It is harmless if several
// routers append one at the same time.
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
		f.opt.Logger.Error(err, "config checkpoint append failed")
	}
}
