package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/logstore"
)

// measureLedger measures the fold of one shard of the ledger.
func measureLedger() Measurement {
	m := newMeasurement("ledger")
	keys := []int{1_000, 4_000, 16_000}
	var recordBytes, foldTime []float64
	m.add("table_bytes", "B", "keys", keys, func(n int) float64 {
		records := ledgerRecords(n)
		bytes := 0
		for _, r := range records {
			bytes += len(r.Data)
		}
		recordBytes = append(recordBytes, float64(bytes)/float64(n))
		var used time.Duration
		kept := heapOf(func() any {
			fold := ledger.NewFold(1, 10*time.Minute, ledger.DefaultResponseBytes)
			used = cpuTime(func() {
				for _, r := range records {
					fold.Apply(r)
				}
			})
			return fold
		})
		// If the records were freed within heapOf, the result would be too small.
		runtime.KeepAlive(records)
		foldTime = append(foldTime, used.Seconds()/float64(n)*1e6)
		return kept
	})
	// The first series has measured these values too, in the order of keys.
	next := func(values *[]float64) func(int) float64 {
		return func(int) float64 {
			value := (*values)[0]
			*values = (*values)[1:]
			return value
		}
	}
	m.add("claim_message_bytes", "B", "claims", []int{1}, func(int) float64 { return claimBytes() })
	m.add("record_bytes_per_key", "B", "keys", keys, next(&recordBytes))
	m.add("processor_per_key", "µs", "keys", keys, next(&foldTime))
	return m
}

// ledgerRecords returns the log records of n requests that were claimed and
// completed with a response of 200 bytes.
func ledgerRecords(n int) []platformclient.Record {
	log := logstore.NewMemory(logstore.Options{})
	shard := ledger.NewShard(ledger.Options{Log: log, Clock: clockwork.NewRealClock(), Logger: logr.Discard()}, 0)
	rng := rand.New(rand.NewPCG(seed, 4))
	ctx := context.Background()
	// The in-memory log does not fail.
	_ = shard.Tail(ctx, 0)
	for i := range n {
		id, _ := uuid.NewV7()
		key, _ := ledger.ParseKey(fmt.Sprintf("workspace-%d", i%230), id.String(), false, 10*time.Minute, time.Now())
		attempt := ledger.NewAttemptID(rng)
		shard.Submit(ledger.Claim{Key: key, Attempt: attempt, Fingerprint: 7, MaxDuration: 10 * time.Second})
		shard.RecordOutcome(ledger.Outcome{Key: key, Attempt: attempt, Run: outcome.RunDone, Response: &ledger.StoredResponse{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}})
		if i%200 == 199 || i == n-1 {
			_, _ = shard.Flush(ctx)
			_ = shard.Tail(ctx, 0)
		}
	}
	page, _ := log.Read(ctx, ledger.Stream(0), 1, 4*n, 0)
	return page.Records
}

// claimBytes returns the bytes of a claim, its reply and its outcome between the
// entry and the appender.
func claimBytes() float64 {
	key := "workspace-123/" + uuid.NewString()
	claim := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_Claim{Claim: &peerpb.Claim{
		Shard: 3, Key: key, Fingerprint: 1 << 60, AttemptHigh: 1 << 60, AttemptLow: 1 << 60, WaitMs: 2000,
	}}}}}
	reply := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_ClaimReply{ClaimReply: &peerpb.ClaimReply{State: 1}}}}}
	finish := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Body: &peerpb.Envelope_Finish{Finish: &peerpb.Finish{
		Shard: 3, Key: key, AttemptHigh: 1 << 60, AttemptLow: 1 << 60, Run: 2, Status: 200, ContentType: "application/json", Answer: make([]byte, 200),
	}}}}}
	return float64(wireSize(claim) + wireSize(reply) + wireSize(finish))
}
