// Package queue orders the requests that wait at the admission owner of an
// endpoint: by worth over time and deadline, fairly between workspaces.
// Deferrable work yields under shortage but gains a small share as it ages.
// Requests that can no longer be in time are refused at once.
//
// A Queue is not safe for concurrent use; the owner's table locks it.
package queue
