// Package load is a load generator that behaves as callers do: it resolves and caches addresses,
// continues chats after pauses, books with idempotency keys and retries after lost replies. It
// checks every response itself; see Result and Audit.
package load
