package configlog

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

func testConfig(model string) *config.Config {
	return &config.Config{
		Zones:  []config.Zone{{Name: "xela-a", Region: "altiplano"}, {Name: "xela-b", Region: "altiplano"}},
		Models: []config.Model{{Name: "scripts", Version: model, PrefillPerSecond: 1000}},
		Endpoints: []config.Endpoint{{
			Name: "w1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "xela-a",
			Model: "scripts", Capacity: 4, ColdCapacity: 1, WarmAfter: 3,
		}},
		Kinds: []config.Kind{{
			Name: "adapt", Model: "scripts", Worth: 1, FullUntil: config.Duration(time.Second),
			Deadline: config.Duration(time.Minute), FirstByte: config.Duration(time.Second),
			BetweenBytes: config.Duration(time.Second), Objective: 0.99,
		}},
		Workspaces: []config.Workspace{{Name: "a", Share: 1}},
		Limits: config.Limits{
			MeanMultiple: 1.25, LedgerWindow: config.Duration(time.Minute), LedgerShards: 4,
			CrashLimit: 3, RetryShare: 0.1, AddressTTL: config.Duration(time.Second), WeightLoadsPerMinute: 6,
		},
	}
}

// stream builds the records of a config stream.
type stream struct {
	records []platformclient.Record
}

func (s *stream) add(t testing.TB, rec record) platformclient.Offset {
	rec.Format = formatVersion
	data, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	offset := platformclient.Offset(len(s.records) + 1)
	at := time.Unix(1000+int64(offset), 0).UTC()
	s.records = append(s.records, platformclient.Record{Offset: offset, At: at, Data: data})
	return offset
}

func foldAll(t testing.TB, f *Fold, records []platformclient.Record) {
	for _, r := range records {
		if _, err := f.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
}

func TestConcurrentChangesAreDecidedInLogOrder(t *testing.T) {
	c := qt.New(t)
	zone := &config.Target{Scope: config.ScopeZone, Name: "xela-a"}
	other := &config.Target{Scope: config.ScopeZone, Name: "xela-b"}
	var s stream
	s.add(t, record{Change: &Change{ID: "p1", ObservedEnd: 1, Op: OpPush, Config: testConfig("1")}})
	s.add(t, record{Change: &Change{ID: "p2", ObservedEnd: 1, Op: OpPush, Config: testConfig("2")}})
	s.add(t, record{Change: &Change{ID: "o1", Base: 1, ObservedEnd: 2, Op: OpTakeOut, Target: zone}})
	s.add(t, record{Change: &Change{ID: "o2", Base: 1, ObservedEnd: 2, Op: OpTakeOut, Target: other}})
	s.add(t, record{Change: &Change{ID: "o3", Base: 1, ObservedEnd: 2, Op: OpTakeOut, Target: zone}})
	s.add(t, record{Change: &Change{ID: "i1", Base: 1, ObservedEnd: 2, Op: OpBringBack, Target: zone}})
	s.add(t, record{Change: &Change{ID: "i2", Base: 4, ObservedEnd: 5, Op: OpBringBack, Target: zone}})
	s.add(t, record{Change: &Change{ID: "o1", Base: 1, ObservedEnd: 2, Op: OpTakeOut, Target: zone}})
	s.add(t, record{Change: &Change{ID: "u", Base: 7, ObservedEnd: 8, Op: OpTakeOut, Target: &config.Target{Scope: config.ScopeZone, Name: "nowhere"}}})
	f := NewFold()
	foldAll(t, f, s.records)
	tests := []struct {
		id       string
		accepted bool
		version  config.Version
		code     outcome.Code
	}{
		{"p1", true, 1, 0},
		{"p2", false, 1, outcome.VersionConflict}, // not based on version 1
		{"o1", true, 3, 0},
		{"o2", true, 4, 0},
		{"o3", true, 4, 0},                        // already out of service
		{"i1", false, 4, outcome.VersionConflict}, // target changed since version 1
		{"i2", true, 7, 0},
		{"u", false, 7, outcome.UnknownName},
	}
	for _, test := range tests {
		e, ok := f.EntryOf(test.id)
		c.Check(ok, qt.IsTrue, qt.Commentf("%s", test.id))
		c.Check(e.Decision.Accepted, qt.Equals, test.accepted, qt.Commentf("%s", test.id))
		c.Check(e.Decision.Version, qt.Equals, test.version, qt.Commentf("%s", test.id))
		c.Check(e.Decision.Code, qt.Equals, test.code, qt.Commentf("%s", test.id))
	}
	state := f.State()
	c.Check(state.IsOutOfService(*zone), qt.IsFalse)
	c.Check(state.IsOutOfService(*other), qt.IsTrue)
}

func TestDuplicateOlderThanTheHistoryIsRejected(t *testing.T) {
	c := qt.New(t)
	zone := &config.Target{Scope: config.ScopeZone, Name: "xela-a"}
	var s stream
	s.add(t, record{Change: &Change{ID: "p", ObservedEnd: 1, Op: OpPush, Config: testConfig("1")}})
	out := Change{ID: "out", Base: 1, ObservedEnd: 2, Op: OpTakeOut, Target: zone}
	s.add(t, record{Change: &out})
	s.add(t, record{Change: &Change{ID: "in", Base: 2, ObservedEnd: 3, Op: OpBringBack, Target: zone}})
	for i := range rememberedChanges {
		id := NewChangeID()
		s.add(t, record{Change: &Change{ID: id, Base: 3, ObservedEnd: platformclient.Offset(4 + i), Op: OpTakeOut, Target: &config.Target{Scope: config.ScopeZone, Name: "no"}}})
	}
	s.add(t, record{Change: &out})
	f := NewFold()
	foldAll(t, f, s.records)
	e, ok := f.EntryOf("out")
	c.Check(ok, qt.IsTrue)
	c.Check(e.Decision.Accepted, qt.IsFalse)
	state := f.State()
	c.Check(state.IsOutOfService(*zone), qt.IsFalse)
}

func TestInvalidPushIsRejectedWithPathAndRemedy(t *testing.T) {
	c := qt.New(t)
	bad := testConfig("1")
	bad.Endpoints[0].Zone = "xela-z"
	var s stream
	s.add(t, record{Change: &Change{ID: "p", ObservedEnd: 1, Op: OpPush, Config: bad}})
	f := NewFold()
	foldAll(t, f, s.records)
	e, _ := f.EntryOf("p")
	c.Check(e.Decision.Code, qt.Equals, outcome.ConfigInvalid)
	c.Assert(e.Decision.Problems, qt.HasLen, 1)
	c.Check(e.Decision.Problems[0].Path, qt.Equals, "endpoints.0.zone")
}

func TestPushCannotChangeTheLedgerShards(t *testing.T) {
	c := qt.New(t)
	more := testConfig("1")
	more.Limits.LedgerShards = 8
	var s stream
	s.add(t, record{Change: &Change{ID: "a", ObservedEnd: 1, Op: OpPush, Config: testConfig("1")}})
	s.add(t, record{Change: &Change{ID: "b", Base: 1, ObservedEnd: 2, Op: OpPush, Config: more}})
	f := NewFold()
	foldAll(t, f, s.records)
	e, _ := f.EntryOf("b")
	c.Check(e.Decision.Code, qt.Equals, outcome.ConfigInvalid)
}

func TestNewerFormatHaltsTheFold(t *testing.T) {
	c := qt.New(t)
	f := NewFold()
	_, err := f.Apply(platformclient.Record{Offset: 1, Data: []byte(`{"format":99}`)})
	c.Check(err, qt.ErrorIs, ErrNewerFormat)
	c.Check(f.Next(), qt.Equals, platformclient.Offset(1))
}
