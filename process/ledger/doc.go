// Package ledger records non-idempotent requests in the platform's log, so
// that each runs at most once. Before a request is dispatched, a claim for its
// idempotency key is appended. The first claim for a key in log order wins; no
// other attempt can win the key unless the winner has recorded that it was not
// and never will be dispatched. Outcomes and small responses are recorded in the
// same stream.
//
// Keys are sharded over several streams. One router is the appender of a
// shard and appends in group commits. A second router that takes itself for the
// appender costs additional appends but violates no guarantee, as the order of
// the log alone decides.
//
// A UUIDv7 key contains its time of creation. A Fold refuses claims for such keys
// older than its window and drops a key only when it is that old, so a retry is never
// taken for a new request. Any other key is kept for a window from its first record.
//
// Lock order: Set.mu, Shard.mu. Attempt takes no locks.
package ledger
