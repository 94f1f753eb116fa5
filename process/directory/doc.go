// Package directory stores which endpoint caches a chat's prefix, as a router saw
// and, at the chat's home router, as others report. The table is bounded and holds
// only hints: a lost or wrong entry causes a recomputed prefix, never a wrong response.
//
// Lock order: Directory.mu is a leaf; no other lock is taken while it is held.
package directory
