package histories

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Sizes of the fixed-seed runs.
const (
	testHistories = 40
	testSteps     = 100
	testSeed      = 1
	// sabotageHistories is the number of histories within which a broken
	// mechanism must be found.
	sabotageHistories = 60
)

func TestPromisesHoldInRandomHistories(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	result := Run(context.Background(), Options{Histories: testHistories, Steps: testSteps, Seed: testSeed, Workers: 4}, &out)
	c.Check(result.Violations, qt.HasLen, 0, qt.Commentf("%s", out.String()))
	c.Check(result.Histories, qt.Equals, testHistories)
	for name, count := range map[string]int{
		"chats": result.Counts.Chats, "refused chats": result.Counts.ChatsRefused, "ran": result.Counts.Ran,
		"repeats": result.Counts.Repeats, "accepted": result.Counts.Accepted, "rejected": result.Counts.Rejected,
		"unknown": result.Counts.Unknown, "refused": result.Counts.Refused, "permits": result.Counts.Permits,
		"lost replies": result.Counts.RepliesLost, "stored answers": result.Counts.StoredAnswers,
	} {
		c.Check(count > 0, qt.IsTrue, qt.Commentf("no %s in the histories", name))
	}
}

func TestHistoriesRepeatBySeed(t *testing.T) {
	c := qt.New(t)
	_, first := runOne(testSeed, testSteps, wholeSystem)
	_, second := runOne(testSeed, testSteps, wholeSystem)
	c.Check(first, qt.Equals, second)
}

func TestBrokenMechanismsAreFound(t *testing.T) {
	names := map[sabotage]string{
		serveStale: "serve stale", dispatchAnyway: "dispatch anyway", refuseAsNotRun: "refuse as not run",
		acceptAtOnce: "accept at once",
	}
	for broken := serveStale; broken < numberOfSabotage; broken++ {
		t.Run(names[broken], func(t *testing.T) {
			for seed := range uint64(sabotageHistories) {
				found, _ := runOne(seed, testSteps, broken)
				if len(found) > 0 {
					t.Logf("seed %d, step %d: %s: %s", seed, found[0].Step, found[0].Promise, found[0].Evidence)
					return
				}
			}
			t.Errorf("not found in %d histories", sabotageHistories)
		})
	}
}

// foundSteps is the length of the histories that once broke a promise.
const foundSteps = 200

// TestHistoriesThatOnceBrokeAPromise runs those again whose fault was mended.
func TestHistoriesThatOnceBrokeAPromise(t *testing.T) {
	for _, seed := range []uint64{17, 39, 1004, 1075, 1206, 1246, 1312, 1572, 2011, 2076, 3276, 3420, 4083, 5179, 31599} {
		broken, _ := runOne(seed, foundSteps, wholeSystem)
		qt.Check(t, broken, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestCapHoldsWhenAHostJoinsWithinAListOutage runs histories in which a host
// restarts on an island while the list is out of service for some routers.
func TestCapHoldsWhenAHostJoinsWithinAListOutage(t *testing.T) {
	for _, seed := range []uint64{300, 1784, 6895} {
		broken, _ := runOne(seed, foundSteps, wholeSystem)
		qt.Check(t, broken, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestRoutersReachTheEndOfTheLog runs a history after which all routers stayed
// at an older version than the log holds.
func TestRoutersReachTheEndOfTheLog(t *testing.T) {
	broken, _ := runOne(60535, foundSteps, wholeSystem)
	qt.Check(t, broken, qt.HasLen, 0)
}

// TestRefusalIsTrueWhileOwnersChange runs a history in which a booking ran under
// one appender of its shard and was refused as not run by another.
func TestRefusalIsTrueWhileOwnersChange(t *testing.T) {
	broken, _ := runOne(71277, foundSteps, wholeSystem)
	qt.Check(t, broken, qt.HasLen, 0)
}
