// Package directory keeps, at the home router of a chat, where the chat's
// prefix is cached. The table is bounded and holds hints only: a lost or wrong
// entry costs a recomputed prefix, never a wrong answer.
//
// Lock order: Directory.mu is a leaf; no other lock is taken while it is held.
package directory
