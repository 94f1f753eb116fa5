// Package ledger records non-idempotent requests in the platform's log, so
// that each runs at most once. Before a request is dispatched, a claim for its
// key is appended; the first claim for a key in log order wins, and it is never
// handed on to another attempt unless its own attempt said that it never will
// dispatch. Outcomes and small answers follow in the same stream.
//
// Keys are spread over several streams, the shards. One router appends for a
// shard, in group commits; a second one that believes itself to be the owner
// costs appends, but no promise, as the log's order alone decides.
//
// A key carries its time of creation. A Fold refuses claims for keys older than
// its window and forgets keys only after that, so a repeat is never taken for a
// first try.
//
// Locks: Set.mu, then Shard.mu. Attempt takes none.
package ledger
