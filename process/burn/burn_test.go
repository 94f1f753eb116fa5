package burn

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func total(records []Record) Counts {
	var sum Counts
	for _, record := range records {
		for _, kind := range record.Kinds {
			sum = sum.Add(kind.Total)
		}
	}
	return sum
}

func minuteSum(records []Record) Counts {
	var sum Counts
	for _, record := range records {
		for _, kind := range record.Kinds {
			for _, minute := range kind.Minutes {
				sum = sum.Add(minute.Counts)
			}
		}
	}
	return sum
}

// Records may reach replicas in any order and any number of times: the merged
// records count each request exactly once, up to the last record that arrived.
func TestMergedRecordsCountEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder := NewRecorder("entry-1", 7, "a", start)
		now, sent := start, start
		stores := []*ReplicaStore{NewReplicaStore(), NewReplicaStore()}
		var counted, reached uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			recorder.Count(now, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "kind"), Result(rapid.IntRange(0, int(resultCount)-1).Draw(t, "result")))
			counted++
			if !rapid.Bool().Draw(t, "send") {
				continue
			}
			record := recorder.Snapshot(now, sent)
			arrived := false
			for _, store := range stores {
				for range rapid.IntRange(0, 2).Draw(t, "copies") {
					store.Merge(now, record)
					arrived = true
				}
			}
			if arrived {
				reached, sent = counted, now
			}
		}
		first, _ := stores[0].Records(now)
		second, _ := stores[1].Records(now)
		merged := MergeAll(second, first, first)
		if got := total(merged).Requests(); got != reached {
			t.Fatalf("total %d, want %d", got, reached)
		}
		if got := minuteSum(merged).Requests(); got != reached {
			t.Fatalf("sum of minutes %d, want %d", got, reached)
		}
		if got := total(MergeAll(first, second, []Record{recorder.Snapshot(now, start)})).Requests(); got != counted {
			t.Fatalf("total with the live record %d, want %d", got, counted)
		}
	})
}

func TestRestartedRouterIsAnotherProcess(t *testing.T) {
	c := qt.New(t)
	store := NewReplicaStore()
	for incarnation := range uint64(3) {
		recorder := NewRecorder("entry-1", incarnation, "a", start)
		recorder.Count(start, "x", InTime)
		recorder.MarkFinal()
		store.Merge(start, recorder.Snapshot(start, start))
	}
	records, _ := store.Records(start)
	c.Check(len(records), qt.Equals, 3)
	c.Check(records[0].Final, qt.IsTrue)
	c.Check(total(records), qt.Equals, Counts{InTime: 3})
}

func TestReplicaStoreIsBoundedAndCountsDroppedRecords(t *testing.T) {
	c := qt.New(t)
	store := NewReplicaStore()
	for i := range maxRecords + 5 {
		store.Merge(start, Record{Host: fmt.Sprint(i), At: start.Add(time.Duration(i) * time.Second)})
	}
	records, dropped := store.Records(start)
	c.Check(len(records), qt.Equals, maxRecords)
	c.Check(records[0].Host, qt.Equals, "5")
	c.Check(dropped, qt.Equals, 5)
	records, _ = store.Records(start.Add(2 * maxRecordAge))
	c.Check(len(records), qt.Equals, 0)
}

func TestReplicasExcludeTheRouterAndStayWhenItLeaves(t *testing.T) {
	c := qt.New(t)
	var members []member.Member
	for i := range 7 {
		members = append(members, member.Member{Name: fmt.Sprintf("entry-%d", i)})
	}
	view := member.NewView(members)
	for _, m := range members {
		replicas := ReplicasOf(view, m.Name)
		c.Assert(len(replicas), qt.Equals, ReplicaCount)
		c.Check(replicas[0].Name == replicas[1].Name || replicas[0].Name == m.Name || replicas[1].Name == m.Name, qt.IsFalse)
		without := member.NewView(slices.DeleteFunc(slices.Clone(members), func(o member.Member) bool { return o.Name == m.Name }))
		c.Check(slices.Equal(ReplicasOf(without, m.Name), replicas), qt.IsTrue)
	}
	c.Check(len(ReplicasOf(member.NewView(members[:1]), "entry-0")), qt.Equals, 0)
}

func TestClassify(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		code    outcome.Code
		run     outcome.Run
		inTime  bool
		want    Result
		counted bool
	}{
		{outcome.OK, outcome.RunDone, true, InTime, true},
		{outcome.OK, outcome.RunDone, false, Late, true},
		{outcome.Overloaded, outcome.RunNot, false, NotRun, true},
		{outcome.EndpointSilent, outcome.RunUnknown, false, Unknown, true},
		{outcome.AnswerTruncated, outcome.RunDone, false, Failed, true},
		{outcome.BadKind, outcome.RunNot, false, 0, false},
		{outcome.CallerGone, outcome.RunUnknown, false, 0, false},
		{outcome.KeyInProgress, outcome.RunUnknown, false, 0, false},
	}
	for _, test := range tests {
		result, counted := Classify(test.code, test.run, test.inTime)
		c.Check(counted, qt.Equals, test.counted, qt.Commentf("%v", test.code))
		c.Check(result, qt.Equals, test.want, qt.Commentf("%v", test.code))
	}
}

func TestLatencyMetrics(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder("entry-1", 1, "a", start)
	for i := range 100 {
		recorder.RecordLatency("x", time.Duration(i)*time.Millisecond, time.Hour) // time.Hour is clamped to maxLatencyMs
	}
	metrics := recorder.Metrics()["x"]
	c.Check(metrics.FirstByteMs.Count, qt.Equals, int64(100))
	c.Check(metrics.FirstByteMs.P50 >= 48 && metrics.FirstByteMs.P50 <= 51, qt.IsTrue)
	c.Check(recorder.Var().String(), qt.Contains, `"requests":0`)
}
