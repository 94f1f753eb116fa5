package configlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// rememberedChanges is the number of decided changes that a Fold keeps to
// recognise duplicates and for the history.
const rememberedChanges = 512

// ErrNewerFormat is returned by Fold.Apply for a record of a newer format than
// this process supports.
var ErrNewerFormat = errors.New("config record has a newer format than this process supports")

// ErrGap is returned by Fold.Apply for a record that does not follow the last one.
var ErrGap = errors.New("config records are missing")

// Fold is the replicated state machine of the config stream. Its state depends
// on the applied records alone. It is not safe for concurrent use.
type Fold struct {
	next         platformclient.Offset
	state        config.State
	entries      []Entry               // oldest first, at most rememberedChanges
	index        map[string]int        // position in entries plus dropped, by ID
	dropped      int                   // entries dropped from the front
	floorOffset  platformclient.Offset // entries up to this offset were dropped
	floorVersion config.Version        // newest accepted version among the dropped entries; a restore resets it

	sinceCheckpoint int // records since the last checkpoint
}

// NewFold returns an empty Fold that expects the record at offset 1 next.
func NewFold() *Fold {
	return &Fold{next: 1, index: make(map[string]int)}
}

// newFoldAt returns an empty Fold that expects the record at offset first next.
func newFoldAt(first platformclient.Offset) *Fold {
	f := NewFold()
	f.next = first
	return f
}

// FoldFrom returns a Fold with the state of checkpoint c.
func FoldFrom(c Checkpoint) *Fold {
	f := NewFold()
	f.next = c.Next
	f.state = c.State
	f.floorOffset = c.FloorOffset
	f.floorVersion = c.FloorVersion
	for _, e := range c.Entries {
		f.remember(e)
	}
	return f
}

// Checkpoint returns the state of f. The result shares memory with f that f never changes.
func (f *Fold) Checkpoint() Checkpoint {
	return Checkpoint{
		Next:         f.next,
		State:        f.state,
		Entries:      slices.Clone(f.entries),
		FloorOffset:  f.floorOffset,
		FloorVersion: f.floorVersion,
	}
}

// Next returns the offset of the first record that has not been applied.
func (f *Fold) Next() platformclient.Offset { return f.next }

// State returns the configuration in force.
func (f *Fold) State() config.State { return f.state }

// SinceCheckpoint returns the number of records applied since the last checkpoint.
func (f *Fold) SinceCheckpoint() int { return f.sinceCheckpoint }

// History returns the remembered changes, oldest first.
func (f *Fold) History() []Entry { return slices.Clone(f.entries) }

// EntryOf returns the entry of the change with the given ID, if it is kept.
func (f *Fold) EntryOf(id string) (Entry, bool) {
	at, ok := f.index[id]
	if !ok {
		return Entry{}, false
	}
	return f.entries[at-f.dropped], true
}

// Apply applies the next record. Records that have been applied are ignored.
// It reports whether the configuration in force changed.
func (f *Fold) Apply(r platformclient.Record) (bool, error) {
	if r.Offset < f.next {
		return false, nil
	}
	if r.Offset > f.next {
		return false, errors.Wrapf(ErrGap, "have %d, got %d", f.next, r.Offset)
	}
	rec, ok := decode(r.Data)
	if ok && rec.Format > formatVersion {
		return false, errors.Wrapf(ErrNewerFormat, "offset %d, format %d", r.Offset, rec.Format)
	}
	f.next++
	f.sinceCheckpoint++
	if !ok {
		return false, nil
	}
	if rec.Checkpoint != nil {
		f.sinceCheckpoint = 0
	}
	if rec.Change == nil {
		return false, nil
	}
	return f.applyChange(r, *rec.Change), nil
}

// decode parses one record. A record that cannot be parsed has no effect on any router.
func decode(data []byte) (record, bool) {
	var rec record
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&rec); err != nil {
		return record{}, false
	}
	return rec, rec.Format > 0
}

// applyChange decides on c, records the decision and reports whether the configuration changed.
func (f *Fold) applyChange(r platformclient.Record, c Change) bool {
	if _, duplicate := f.index[c.ID]; duplicate || c.ID == "" {
		return false
	}
	decision, next := f.decide(r, c)
	changed := decision.Accepted && decision.Version != f.state.Version
	if changed {
		f.state = next
	}
	f.remember(Entry{
		ID: c.ID, Offset: r.Offset, Base: c.Base, Author: c.Author, Reason: c.Reason,
		At: r.At, Op: c.Op, Target: c.Target, Decision: decision,
	})
	return changed
}

// remember adds e to the history and drops the oldest entry if there are more
// than rememberedChanges.
func (f *Fold) remember(e Entry) {
	f.entries = append(f.entries, e)
	f.index[e.ID] = f.dropped + len(f.entries) - 1
	if len(f.entries) <= rememberedChanges {
		return
	}
	oldest := f.entries[0]
	delete(f.index, oldest.ID)
	f.floorOffset = max(f.floorOffset, oldest.Offset)
	if oldest.Decision.Accepted {
		f.floorVersion = max(f.floorVersion, oldest.Decision.Version)
	}
	f.entries = slices.Clone(f.entries[1:])
	f.dropped++
}

func (f *Fold) reject(code outcome.Code, format string, args ...any) (Decision, config.State) {
	d := Decision{Version: f.state.Version, Code: code, Detail: fmt.Sprintf(format, args...)}
	return d, f.state
}

// decide returns the decision on c and the state after it.
func (f *Fold) decide(r platformclient.Record, c Change) (Decision, config.State) {
	if c.Op == OpRestore && c.Config != nil {
		return f.decideRestore(r, c)
	}
	if c.ObservedEnd <= f.floorOffset {
		return f.reject(outcome.VersionConflict, "the change was made before offset %d and arrived too late", f.floorOffset)
	}
	if c.Base > f.state.Version {
		return f.reject(outcome.VersionConflict, "version %d is not known; version %d is in force", c.Base, f.state.Version)
	}
	switch {
	case c.Op == OpPush && c.Config != nil:
		return f.decidePush(r, c)
	case (c.Op == OpTakeOut || c.Op == OpBringBack) && c.Target != nil:
		return f.decideTarget(r, c)
	default:
		return f.reject(outcome.BadRequest, "operation %q is unknown or incomplete", c.Op)
	}
}

func (f *Fold) decidePush(r platformclient.Record, c Change) (Decision, config.State) {
	if c.Base != f.state.Version {
		return f.reject(outcome.VersionConflict, "made on version %d; version %d is in force", c.Base, f.state.Version)
	}
	problems := config.Validate(*c.Config)
	if problem, ok := f.shardsChanged(c); ok {
		problems = append(problems, problem)
	}
	if len(problems) > 0 {
		d, state := f.reject(outcome.ConfigInvalid, "%s", problems[0])
		d.Problems = problems
		return d, state
	}
	next := config.State{Version: config.Version(r.Offset), Config: *c.Config, OutOfService: f.state.OutOfService}
	return Decision{Accepted: true, Version: next.Version}, next
}

// decideRestore discards the earlier state and puts c in force. A Fold without
// state can start from such a record, so the decision must not depend on earlier
// records.
func (f *Fold) decideRestore(r platformclient.Record, c Change) (Decision, config.State) {
	if problems := config.Validate(*c.Config); len(problems) > 0 {
		d, state := f.reject(outcome.ConfigInvalid, "%s", problems[0])
		d.Problems = problems
		return d, state
	}
	f.entries = nil
	f.index = make(map[string]int)
	f.dropped = 0
	f.floorOffset = r.Offset - 1
	f.floorVersion = 0
	next := config.State{Version: config.Version(r.Offset), Config: *c.Config}
	return Decision{Accepted: true, Version: next.Version}, next
}

// isRestore reports whether rec is a valid restore, from which a Fold can start.
func isRestore(rec record) bool {
	c := rec.Change
	return c != nil && c.ID != "" && c.Op == OpRestore && c.Config != nil && len(config.Validate(*c.Config)) == 0
}

// shardsChanged reports a push that changes the number of ledger shards. That
// would map keys to other streams, which do not have their claims.
func (f *Fold) shardsChanged(c Change) (config.Problem, bool) {
	have, want := f.state.Config.Limits.LedgerShards, c.Config.Limits.LedgerShards
	if f.state.Version == 0 || have == want || have == 0 {
		return config.Problem{}, false
	}
	return config.Problem{
		Path:   "limits.ledger_shards",
		Text:   fmt.Sprintf("the number cannot change from %d to %d", have, want),
		Remedy: "keep the number; it is fixed by the first configuration",
	}, true
}

func (f *Fold) decideTarget(r platformclient.Record, c Change) (Decision, config.State) {
	target := *c.Target
	if !f.targetExists(target) {
		return f.reject(outcome.UnknownName, "there is no %s %q", target.Scope, target.Name)
	}
	if f.state.IsOutOfService(target) == (c.Op == OpTakeOut) {
		return Decision{Accepted: true, Version: f.state.Version, Detail: "already so"}, f.state
	}
	if at, changed := f.changedAfter(target, c.Base); changed {
		return f.reject(outcome.VersionConflict, "%s %q was changed in version %d, after version %d", target.Scope, target.Name, at, c.Base)
	}
	next := config.State{Version: config.Version(r.Offset), Config: f.state.Config}
	if c.Op == OpTakeOut {
		mark := config.OutOfService{Target: target, Since: r.At, Author: c.Author}
		next.OutOfService = append(slices.Clone(f.state.OutOfService), mark)
	} else {
		isTarget := func(m config.OutOfService) bool { return m.Target == target }
		next.OutOfService = slices.DeleteFunc(slices.Clone(f.state.OutOfService), isTarget)
	}
	return Decision{Accepted: true, Version: next.Version}, next
}

// targetExists reports whether target exists or is marked out of service. Hosts
// are not part of the configuration, so any host name is accepted.
func (f *Fold) targetExists(target config.Target) bool {
	if f.state.IsOutOfService(target) {
		return true
	}
	c := &f.state.Config
	switch target.Scope {
	case config.ScopeZone:
		return slices.ContainsFunc(c.Zones, func(z config.Zone) bool { return z.Name == target.Name })
	case config.ScopeEndpoint:
		return slices.ContainsFunc(c.Endpoints, func(e config.Endpoint) bool { return e.Name == target.Name })
	case config.ScopeHost:
		return target.Name != ""
	}
	return false
}

// changedAfter returns the version after base in which target was taken out of
// service or brought back. It assumes such a change if the history no longer
// goes back to base.
func (f *Fold) changedAfter(target config.Target, base config.Version) (config.Version, bool) {
	for i := len(f.entries) - 1; i >= 0; i-- {
		e := &f.entries[i]
		tookEffect := e.Decision.Accepted && e.Decision.Version == config.Version(e.Offset)
		if tookEffect && e.Decision.Version > base && e.Target != nil && *e.Target == target {
			return e.Decision.Version, true
		}
	}
	return f.floorVersion, base < f.floorVersion
}
