// Package ledgerbench is a benchmark of the ledger: append rate, wait for claims
// and replay of a shard, at several request rates, under a virtual clock.
package ledgerbench
