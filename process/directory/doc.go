// Package directory stores which endpoint caches a chat's prefix: what this router observed
// and, at the chat's home router, what other routers report. The table is bounded and holds
// only hints: a lost or wrong entry causes a recomputed prefix, never a wrong response.
//
// Lock order: Directory.mu is a leaf; no other lock is taken while it is held.
package directory
