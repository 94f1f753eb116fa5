// Package suspect bounds the number of endpoints that one request body can crash
// across the whole fleet. Bodies are counted by a fingerprint of workspace, kind,
// method, path and body, because a retry by the caller has a new request ID.
//
// Before dispatch, an entry host asks the home of the fingerprint: the router that
// has member.DutySuspect for it. Copies of a body that has not yet completed a few
// times all run at one endpoint, so that they are lost together if they crash it.
// When an endpoint is lost, all bodies that ran there become suspects. A suspect
// runs alone; it is cleared when it completes and blocked when the endpoint where it
// runs alone is lost too. The home sends each loss and each clearance of a suspect to
// the member that would be the next home, and each block to all other known routers. A
// router that starts learns of suspects and blocks from the others.
//
// With a crash limit of n, a body crashes at most n endpoints in total. Until its first
// block it crashes at most one before it is a suspect, one when it runs alone, and one more
// if the home is lost or a competing home answers in between. A home lets suspects run only
// while it reaches a majority and after the bindings to an earlier home have ended.
//
// Lock order: Table.mu and Running.mu are leaves and are never held together.
package suspect
