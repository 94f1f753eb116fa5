// Package ledgerbench is a benchmark of the ledger at several request rates: append
// rate and wait for claims under a virtual clock, replay of a shard in real time.
package ledgerbench
