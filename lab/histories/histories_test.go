package histories

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Sizes of the runs with fixed seeds.
const (
	testHistories = 40
	testSteps     = 100
	testSeed      = 1
	// A mutation must be detected within mutationHistories histories.
	mutationHistories = 60
)

func TestGuaranteesHoldInRandomHistories(t *testing.T) {
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

func TestHistoryIsReproducibleBySeed(t *testing.T) {
	c := qt.New(t)
	_, first := runHistory(testSeed, testSteps, noMutation)
	_, second := runHistory(testSeed, testSteps, noMutation)
	c.Check(first, qt.Equals, second)
}

func TestMutationsAreDetected(t *testing.T) {
	names := map[mutation]string{
		serveStale: "serve stale", dispatchWithoutClaim: "dispatch without claim", refuseAsNotRun: "refuse as not run",
		acceptOnAppend: "accept on append",
	}
	for mutated := serveStale; mutated < mutationCount; mutated++ {
		t.Run(names[mutated], func(t *testing.T) {
			for seed := range uint64(mutationHistories) {
				violations, _ := runHistory(seed, testSteps, mutated)
				if len(violations) > 0 {
					t.Logf("seed %d, step %d: %s: %s", seed, violations[0].Step, violations[0].Guarantee, violations[0].Evidence)
					return
				}
			}
			t.Errorf("not detected in %d histories", mutationHistories)
		})
	}
}

// regressionSteps is the length of the histories that violated a guarantee before.
const regressionSteps = 200

// TestHistoriesThatFoundBugs runs histories that violated a guarantee until the
// bugs that they found were fixed.
func TestHistoriesThatFoundBugs(t *testing.T) {
	for _, seed := range []uint64{17, 39, 1004, 1075, 1206, 1246, 1312, 1572, 2011, 2076, 3276, 3420, 4083, 5179, 31599} {
		violations, _ := runHistory(seed, regressionSteps, noMutation)
		qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestCapHoldsWhenAHostJoinsDuringAListOutage runs histories in which a host restarts
// within a network partition while the host list is unreachable for some routers.
func TestCapHoldsWhenAHostJoinsDuringAListOutage(t *testing.T) {
	for _, seed := range []uint64{300, 1784, 6895} {
		violations, _ := runHistory(seed, regressionSteps, noMutation)
		qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestRoutersReachTheEndOfTheLog runs a history after which, before a fix, all
// routers stayed at a version older than the newest one in the log.
func TestRoutersReachTheEndOfTheLog(t *testing.T) {
	violations, _ := runHistory(60535, regressionSteps, noMutation)
	qt.Check(t, violations, qt.HasLen, 0)
}

// TestRefusalIsTrueWhileOwnersChange runs a history in which a booking ran under
// one appender of its shard and was refused as not run by another.
func TestRefusalIsTrueWhileOwnersChange(t *testing.T) {
	violations, _ := runHistory(71277, regressionSteps, noMutation)
	qt.Check(t, violations, qt.HasLen, 0)
}
