// Package queue orders the requests that wait at the admission owner of an
// endpoint: by worth over time and deadline, fairly between workspaces. Work
// that can wait gives way under shortage but gains a small share as it ages.
// What can no longer be in time is refused at once.
//
// A Queue is not safe for concurrent use; the owner's table locks it.
package queue
