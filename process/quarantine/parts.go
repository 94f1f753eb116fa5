package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/process/suspect"
)

// suspectedWait is the time to come back of a request with a suspected part while another
// router runs its trial.
const suspectedWait = confirmTime

// PartFingerprint identifies a part of prompts among bodies and other parts.
func PartFingerprint(part uint64) suspect.Fingerprint {
	return suspect.FingerprintOf("", "part", "", binary.BigEndian.AppendUint64(nil, part))
}

// CheckParts returns the part for which a request is refused and when it may be sent
// again, or 0 and 0. parts are those that its prompt shares with others.
func (t *Table) CheckParts(now time.Time, parts []uint64) (uint64, time.Duration) {
	if !t.refuses.Load() || len(parts) == 0 {
		return 0, 0
	}
	t.confirm(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		f := PartFingerprint(p)
		b := t.records[f]
		if b == nil || !holds(parts, p, t.unproven(b.with)) {
			continue
		}
		if b.expired(now) {
			t.remove(f)
			continue
		}
		if wait := t.wait(now, f, b); wait > 0 {
			return p, wait
		}
		if b.Quarantined() {
			return 0, 0 // a trial
		}
	}
	s := t.evidence.suspectedIn(parts)
	switch {
	case s == nil:
		return 0, 0
	case now.Before(s.nextTrial):
		return s.part, s.nextTrial.Sub(now)
	case !t.mayTry(PartFingerprint(s.part)):
		return s.part, suspectedWait
	}
	s.nextTrial = now.Add(confirmRetry)
	return 0, 0
}

// unproven returns the parts without a completed run.
func (t *Table) unproven(parts []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(parts), t.evidence.proven)
}

// PartsLost records a run that was lost when its endpoint crashed.
func (t *Table) PartsLost(now time.Time, r Run) {
	if len(r.Parts) == 0 {
		return
	}
	var trials []Report
	t.mu.Lock()
	for _, p := range r.Parts {
		f := PartFingerprint(p)
		if b := t.records[f]; b != nil && b.Quarantined() && r.SentAt.After(b.crashedAt) && holds(r.Parts, p, t.unproven(b.with)) {
			trials = append(trials, Report{Fingerprint: f, Part: p, With: both(b.with, r.Parts), State: State{Resets: b.Resets, Crashes: b.Crashes + 1}})
		}
	}
	before := t.evidence.suspected
	t.evidence.lost(now, r)
	changes := t.suspicionsChanged(before)
	t.mu.Unlock()
	t.tell(changes)
	for _, report := range trials {
		t.set(now, report, now, true)
	}
	t.confirm(now)
}

// PartsCompleted records a run that completed. parts are those that its prompt shares with
// others.
func (t *Table) PartsCompleted(now time.Time, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	var free []Report
	t.mu.Lock()
	t.evidence.complete(now, parts)
	if !t.refuses.Load() {
		t.mu.Unlock()
		return
	}
	for _, p := range parts {
		f := PartFingerprint(p)
		if b := t.records[f]; b != nil && b.Quarantined() && holds(parts, p, t.unproven(b.with)) {
			free = append(free, Report{Fingerprint: f, Part: p, With: b.with, State: State{Resets: b.Resets + 1}})
		}
	}
	before := t.evidence.suspected
	if len(before) > 0 {
		t.evidence.suspect(now)
	}
	changes := t.suspicionsChanged(before)
	t.mu.Unlock()
	t.tell(changes)
	for _, r := range free {
		t.set(now, r, now, true)
	}
}

// Evidence returns what the other routers should know about runs that were lost and
// completed.
func (t *Table) Evidence(now time.Time) Evidence {
	t.confirm(now)
	t.mu.Lock()
	before := t.evidence.suspected
	if len(before) > 0 {
		t.evidence.suspect(now)
	}
	changes := t.suspicionsChanged(before)
	r := t.evidence.report(now)
	t.mu.Unlock()
	t.tell(changes)
	return r
}

// MergeEvidence applies the evidence of another router.
func (t *Table) MergeEvidence(now time.Time, from Source, r Evidence) {
	if len(r.Losses) == 0 && len(r.Completed) == 0 {
		return
	}
	t.mu.Lock()
	before := t.evidence.suspected
	t.evidence.merge(now, from, r)
	changes := t.suspicionsChanged(before)
	t.mu.Unlock()
	t.tell(changes)
	t.confirm(now)
}

// confirm quarantines the suspected parts of which a trial was lost, and refuses more of
// the prompts with a quarantined part if runs without some of its With were lost too.
func (t *Table) confirm(now time.Time) {
	if !t.refuses.Load() {
		return
	}
	var confirmed []Report
	t.mu.Lock()
	for _, s := range t.evidence.suspected {
		f := PartFingerprint(s.part)
		r := Report{Fingerprint: f, Part: s.part, With: s.with, State: State{Crashes: crashLimit}}
		b := t.records[f]
		if b != nil {
			r.Resets = b.Resets
			r.Crashes = r.limit()
		}
		switch {
		case b != nil && b.Quarantined():
			if len(both(b.with, s.with)) < len(b.with) {
				r.State = b.State
				confirmed = append(confirmed, r)
			}
		case s.confirmed:
			confirmed = append(confirmed, r)
		}
	}
	t.mu.Unlock()
	for _, r := range confirmed {
		t.set(now, r, now, true)
	}
}

// suspicionsChanged returns the suspicions that are new and those that ended. The caller
// holds t.mu.
func (t *Table) suspicionsChanged(before []suspicion) []Change {
	t.refuses.Store(len(t.evidence.suspected) > 0 || t.quarantinesPart())
	var changes []Change
	add := func(list, others []suspicion, suspected bool) {
		for _, s := range list {
			if !slices.ContainsFunc(others, func(o suspicion) bool { return o.part == s.part }) {
				c := Change{Fingerprint: PartFingerprint(s.part), Part: s.part, With: s.with, Suspected: suspected}
				if suspected {
					c.Crashes = s.crashes
				} else if b := t.records[c.Fingerprint]; b != nil {
					c.State = b.State
				}
				changes = append(changes, c)
			}
		}
	}
	add(t.evidence.suspected, before, true)
	add(before, t.evidence.suspected, false)
	return changes
}

func (t *Table) quarantinesPart() bool {
	for _, b := range t.records {
		if b.part != 0 && b.Quarantined() {
			return true
		}
	}
	return false
}

func (t *Table) tell(changes []Change) {
	for _, c := range changes {
		t.onChange(c)
	}
}

// both returns the elements of a that are in b.
func both(a, b []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(a), func(q uint64) bool { return !slices.Contains(b, q) })
}
