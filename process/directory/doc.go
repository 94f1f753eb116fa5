// Package directory stores, at the home router of a chat, the endpoint that caches
// the chat's prefix. The table is bounded and holds only hints: a lost or wrong
// entry causes a recomputed prefix, never a wrong response.
//
// Lock order: Directory.mu is a leaf; no other lock is taken while it is held.
package directory
