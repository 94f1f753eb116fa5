// Package ledger records non-idempotent requests in the platform's log, so
// that each runs at most once. Before a request is dispatched, a claim for its
// idempotency key is appended. The first claim for a key in log order wins; no
// other attempt can win the key unless the winner has recorded that it was not
// and never will be dispatched. Outcomes and small responses are recorded in the
// same stream.
//
// Keys are sharded over several streams. One router appends to a shard, in group
// commits. A second router that takes itself for the owner costs additional
// appends but violates no guarantee, as the order of the log alone decides.
//
// A key contains its time of creation. A Fold refuses claims for keys older than
// its window and drops keys only after that, so a retry is never taken for a new
// request.
//
// Lock order: Set.mu, then Shard.mu. Attempt takes no locks.
package ledger
