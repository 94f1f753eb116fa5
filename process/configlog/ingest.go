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
	// recentKept is the number of records kept for peers.
	recentKept = 64
	// recentBytes bounds the size of the records kept for peers.
	recentBytes = 1 << 20
	// maxHeld bounds the records that are held while a starting point is
	// looked for.
	maxHeld = 4096
)

func versionEvidence(self string, have, got config.Version) string {
	return fmt.Sprintf("router %s has version %d and was to publish version %d", self, have, got)
}

// recentRecords are the newest records, for peers that follow closely.
type recentRecords struct {
	records []platformclient.Record
	bytes   int
}

func (r *recentRecords) add(rec platformclient.Record) {
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	drop := 0
	for len(r.records)-drop > recentKept || r.bytes > recentBytes && len(r.records)-drop > 1 {
		r.bytes -= len(r.records[drop].Data)
		drop++
	}
	if drop > 0 {
		r.records = slices.Clone(r.records[drop:])
	}
}

// from returns the records from offset on, or false if some are not kept.
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

// starter looks for a checkpoint from which all later records are known.
type starter struct {
	first platformclient.Offset // oldest record of the stream; 0: unknown
	held  []platformclient.Record
}

// take takes the next record. It returns a fold once one can be built.
func (s *starter) take(r platformclient.Record) (*Fold, error) {
	if n := len(s.held); n > 0 && r.Offset != s.held[n-1].Offset+1 {
		s.held = nil
	}
	s.held = append(s.held, r)
	if len(s.held) > maxHeld {
		s.held = slices.Clone(s.held[1:])
	}
	rec, ok := decode(r.Data)
	if ok && rec.Format > formatVersion {
		return nil, errors.Wrapf(ErrNewerFormat, "offset %d", r.Offset)
	}
	switch {
	case r.Offset == 1:
		return s.replay(NewFold())
	case ok && rec.Checkpoint != nil && rec.Checkpoint.Next >= s.held[0].Offset:
		return s.replay(FoldFrom(*rec.Checkpoint))
	case ok && restores(rec):
		s.held = s.held[len(s.held)-1:]
		return s.replay(foldAt(r.Offset))
	}
	return nil, nil
}

func (s *starter) replay(f *Fold) (*Fold, error) {
	held := s.held
	s.held = nil
	for _, r := range held {
		if _, err := f.Apply(r); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// apply takes records in order and publishes what they lead to.
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
	err := f.foldRecord(r)
	if err != nil {
		if errors.Is(err, ErrNewerFormat) {
			f.halted = err
		}
		f.mu.Unlock()
		return err
	}
	f.recent.add(r)
	if rec, ok := decode(r.Data); ok && rec.Checkpoint != nil {
		f.planCheckpoint(now)
	}
	state, known := f.advance()
	f.mu.Unlock()
	if known {
		f.publish(state)
	}
	return nil
}

// foldRecord applies r to the fold, or to the search for a starting point.
func (f *Follower) foldRecord(r platformclient.Record) error {
	if f.fold != nil {
		_, err := f.fold.Apply(r)
		return err
	}
	fold, err := f.start.take(r)
	f.fold = fold
	return err
}

// advance tells everybody that the fold may have moved and returns its state.
func (f *Follower) advance() (config.State, bool) {
	if f.fold == nil {
		return config.State{}, false
	}
	f.fresh.Advance(f.fold.Next())
	f.closeGap()
	f.signalAdvanced()
	state := f.fold.State()
	return state, state.Version > 0
}

// openGap notes that the log holds no starting point after the records that
// are known.
func (f *Follower) openGap() {
	if f.missing != nil && f.missing.To == f.start.first {
		return
	}
	f.missing = &Gap{From: max(f.known, 1), To: f.start.first}
	f.opt.Logger.Info("configuration records expired unread; an operator has to restore a configuration",
		"from", uint64(f.missing.From), "to", uint64(f.missing.To))
}

// closeGap notes that the fold is past the missing records.
func (f *Follower) closeGap() {
	f.known = f.fold.Next()
	if f.missing == nil || f.known <= f.missing.To {
		return
	}
	f.opt.Logger.Info("configuration records follow on again", "next", uint64(f.known))
	f.missing = nil
}

// ServePage answers a peer that asks for the records from offset on. The answer's
// End says how far this router is, also if nothing else is in it; it is 0 if
// the router is not Ready.
func (f *Follower) ServePage(from platformclient.Offset) *peerpb.ConfigPage {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readyLocked() {
		return &peerpb.ConfigPage{} // it may lack accepted records
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
		f.opt.Logger.Error(err, "config state cannot be passed on")
	}
	return data
}

// ApplyPage takes records or a state that a peer passed on.
func (f *Follower) ApplyPage(page *peerpb.ConfigPage) error {
	if err := f.takeState(page.GetState()); err != nil {
		return err
	}
	records := make([]platformclient.Record, 0, len(page.GetRecords()))
	for _, r := range page.GetRecords() {
		at := time.Unix(0, r.GetAtUnixNs()).UTC()
		records = append(records, platformclient.Record{Offset: platformclient.Offset(r.GetOffset()), At: at, Data: r.GetData()})
	}
	return f.apply(records, f.opt.Clock.Now())
}

// takeState takes over a peer's state if it is newer than the own one.
func (f *Follower) takeState(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var c Checkpoint
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "read a peer's config state")
	}
	f.mu.Lock()
	if f.halted != nil || c.Next <= f.nextLocked() {
		f.mu.Unlock()
		return nil
	}
	f.fold = FoldFrom(c)
	f.recent = recentRecords{}
	state, known := f.advance()
	f.mu.Unlock()
	if known {
		f.publish(state)
	}
	return nil
}
