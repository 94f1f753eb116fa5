// Package load is a load generator that behaves as callers do: it asks for
// addresses and keeps them, returns to chats after pauses, books with
// idempotency keys and repeats after lost replies. It judges every answer by
// itself; see Result and Audit.
package load
