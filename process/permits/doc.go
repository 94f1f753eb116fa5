// Package permits decides which calls of a plain service run, wait or are refused,
// for services with fewer slots than routers can divide among themselves. One
// router, the service's permit owner, holds the Owner; every router that forwards
// calls holds an Asker. Neither does I/O or reads a clock: both take now as an
// argument, and Owner draws from an injected random source.
//
// Invariants:
//
//   - A permit is granted once. A repeated Ask, with the same router and number, gets
//     the reply of the first one again.
//   - Except for long prompts, an Owner grants a permit only where the load that it
//     expects, with the new permit, is at most the endpoint's slots plus its short
//     queue. That load is the held permits and what the endpoint reports beyond them,
//     without overdue permits that the endpoint does not report.
//   - Every permit ends: by its Done, by its lease, or with its endpoint.
//   - Every Ask ends within its Wait, if Expire is called: granted, refused, or without
//     a permit because no endpoint is usable.
//   - Every Ask of an Asker gets exactly one Result; a grant that arrives after it
//     is returned to the owner.
//
// Owner and Asker are not safe for concurrent use.
package permits
