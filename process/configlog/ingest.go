package configlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// maxRecentRecords bounds the number of records kept for peers.
	maxRecentRecords = 64
	// maxRecentBytes bounds the size of the records kept for peers.
	maxRecentBytes = 1 << 20
	// maxBuffered bounds the records that are buffered during the search for a starting point.
	maxBuffered = 4096
)

func versionRevertDetail(self string, have, got config.Version) string {
	return fmt.Sprintf("router %s has version %d in force and was about to publish version %d", self, have, got)
}

// recentRecords buffers the newest records, for peers that lag by a few records.
type recentRecords struct {
	records []platformclient.Record
	bytes   int
}

func (r *recentRecords) add(rec platformclient.Record) {
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	drop := 0
	for len(r.records)-drop > maxRecentRecords || r.bytes > maxRecentBytes && len(r.records)-drop > 1 {
		r.bytes -= len(r.records[drop].Data)
		drop++
	}
	if drop > 0 {
		r.records = slices.Clone(r.records[drop:])
	}
}

// from returns the records from offset on, or false if some are no longer kept.
func (r *recentRecords) from(offset platformclient.Offset) ([]platformclient.Record, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, false
	}
	skip := int(offset - r.records[0].Offset)
	if skip >= len(r.records) {
		return nil, true
	}
	return r.records[skip:], true
}

// startFinder searches the stream for a record from which a Fold can start.
type startFinder struct {
	first    platformclient.Offset // oldest record in the log; 0: unknown
	buffered []platformclient.Record
}

// add processes the next record. It returns a Fold once a starting point is found.
func (s *startFinder) add(r platformclient.Record) (*Fold, error) {
	if n := len(s.buffered); n > 0 && r.Offset != s.buffered[n-1].Offset+1 {
		s.buffered = nil
	}
	s.buffered = append(s.buffered, r)
	if len(s.buffered) > maxBuffered {
		s.buffered = slices.Clone(s.buffered[1:])
	}
	rec, ok := decode(r.Data)
	if ok && rec.Format > formatVersion {
		return nil, errors.Wrapf(ErrNewerFormat, "offset %d", r.Offset)
	}
	switch {
	case r.Offset == 1:
		return s.replay(NewFold())
	case ok && rec.Checkpoint != nil && rec.Checkpoint.Next >= s.buffered[0].Offset:
		return s.replay(FoldFrom(*rec.Checkpoint))
	case ok && isRestore(rec):
		s.buffered = s.buffered[len(s.buffered)-1:]
		return s.replay(newFoldAt(r.Offset))
	}
	return nil, nil
}

func (s *startFinder) replay(f *Fold) (*Fold, error) {
	records := s.buffered
	s.buffered = nil
	for _, r := range records {
		if _, err := f.Apply(r); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// apply applies records in order and publishes the resulting configurations.
func (f *Follower) apply(records []platformclient.Record, now time.Time) error {
	for _, r := range records {
		if err := f.applyOne(r, now); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) applyOne(r platformclient.Record, now time.Time) error {
	f.mu.Lock()
	if f.fold != nil && r.Offset < f.fold.Next() {
		f.mu.Unlock()
		return nil
	}
	err := f.applyRecord(r)
	if err != nil {
		if errors.Is(err, ErrNewerFormat) {
			f.halted = err
		}
		f.mu.Unlock()
		return err
	}
	f.recent.add(r)
	if rec, ok := decode(r.Data); ok && rec.Checkpoint != nil {
		f.planCheckpoint(now) // the time counts from the newest checkpoint of any router
	}
	state, known := f.afterApply()
	f.mu.Unlock()
	if known {
		f.publish(state)
	}
	return nil
}

// applyRecord applies r to the Fold, or to the search for a starting point.
func (f *Follower) applyRecord(r platformclient.Record) error {
	if f.fold != nil {
		_, err := f.fold.Apply(r)
		return err
	}
	fold, err := f.start.add(r)
	f.fold = fold
	return err
}

// afterApply updates the freshness and the gap and signals progress. It returns
// the state of the Fold, or false if there is no configuration yet.
func (f *Follower) afterApply() (config.State, bool) {
	if f.fold == nil {
		return config.State{}, false
	}
	f.fresh.Advance(f.fold.Next())
	f.closeGap()
	f.signalAdvanced()
	state := f.fold.State()
	return state, state.Version > 0
}

// openGap records that the log holds neither the records from appliedEnd on nor
// a later starting point.
func (f *Follower) openGap() {
	if f.missing != nil && f.missing.To == f.start.first {
		return
	}
	f.missing = &Gap{From: max(f.appliedEnd, 1), To: f.start.first}
	f.opt.Logger.Info("configuration records expired before they were read; an operator must restore a configuration",
		"from", uint64(f.missing.From), "to", uint64(f.missing.To))
}

// closeGap clears the gap once the Fold has passed the missing records.
func (f *Follower) closeGap() {
	f.appliedEnd = f.fold.Next()
	if f.missing == nil || f.appliedEnd <= f.missing.To {
		return
	}
	f.opt.Logger.Info("gap in the configuration records closed", "next", uint64(f.appliedEnd))
	f.missing = nil
}

// ServePage returns, for a peer, the records from offset from on, or a checkpoint if
// they are no longer kept. End is the offset of the next record that this router will
// apply, or 0 if the router is not Ready.
func (f *Follower) ServePage(from platformclient.Offset) *peerpb.ConfigPage {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readyLocked() {
		return &peerpb.ConfigPage{} // accepted records may be missing
	}
	page := &peerpb.ConfigPage{End: uint64(f.fold.Next())}
	if from >= f.fold.Next() {
		return page
	}
	records, ok := f.recent.from(from)
	if !ok {
		page.First = page.End
		page.State = f.checkpointJSON()
		return page
	}
	page.First = uint64(from)
	for _, r := range records {
		page.Records = append(page.Records, &peerpb.ConfigRecord{
			Offset: uint64(r.Offset), AtUnixNs: r.At.UnixNano(), Data: r.Data,
		})
	}
	return page
}

func (f *Follower) checkpointJSON() []byte {
	data, err := json.Marshal(f.fold.Checkpoint())
	if err != nil {
		f.opt.Logger.Error(err, "config checkpoint encoding failed")
	}
	return data
}

// ApplyPage applies the records or the checkpoint received from a peer.
func (f *Follower) ApplyPage(page *peerpb.ConfigPage) error {
	if err := f.adoptCheckpoint(page.GetState()); err != nil {
		return err
	}
	records := make([]platformclient.Record, 0, len(page.GetRecords()))
	for _, r := range page.GetRecords() {
		at := time.Unix(0, r.GetAtUnixNs()).UTC()
		records = append(records, platformclient.Record{Offset: platformclient.Offset(r.GetOffset()), At: at, Data: r.GetData()})
	}
	return f.apply(records, f.opt.Clock.Now())
}

// adoptCheckpoint adopts a peer's checkpoint if it is newer than this router's state.
func (f *Follower) adoptCheckpoint(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var c Checkpoint
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "decode a peer's config checkpoint")
	}
	f.mu.Lock()
	if f.halted != nil || c.Next <= f.nextLocked() {
		f.mu.Unlock()
		return nil
	}
	f.fold = FoldFrom(c)
	f.recent = recentRecords{}
	state, known := f.afterApply()
	f.mu.Unlock()
	if known {
		f.publish(state)
	}
	return nil
}
