// Package ledgerbench measures the ledger: appends, the wait for a claim and the
// replay of a shard, at several rates of requests, under a virtual clock.
package ledgerbench
