// Package suspect bounds the endpoints that one request body can crash across
// the whole fleet. Bodies are counted by a fingerprint of workspace, kind and
// body, as a caller that sends again uses a new request number.
//
// Before dispatch an entry asks the fingerprint's home, the router that holds
// member.DutySuspect for it. Copies of a body that has not yet run to its end
// a few times all go to one endpoint, so that they are lost together if they
// crash it. When an endpoint is lost, all that ran there are suspects. A
// suspect runs alone; it is cleared when it ends well and convicted when its
// endpoint is lost again. The home tells each loss to the members that would
// be the next homes, and each conviction to everybody.
//
// With n the crash limit, a body costs at most n endpoints: one before it is a
// suspect, one alone run, and one more if the home is lost or a rival home
// answers in between. A home runs suspects only while it hears a majority and
// after the promises to an earlier home have run out.
//
// Lock order: Table.mu and Running.mu are leaves and are never held together.
package suspect
