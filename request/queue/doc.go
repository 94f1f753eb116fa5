// Package queue orders the requests that wait at the admission owner of an
// endpoint: by the worth that waiting loses, fairly between workspaces.
// Deferrable work yields under shortage but gains a small share as it ages.
// Requests that can no longer be in time are refused at once.
//
// A Queue is not safe for concurrent use; admission.Owner locks it.
package queue
