// Package loadshed decides whether an endpoint takes one more request, or the
// request is refused at once and told when to come back. It does no I/O and
// reads no clock.
//
// The load it answers for: for seconds, more requests come than the endpoints
// of a service complete. An endpoint that takes them all has a queue that is
// longer than their objectives, so that each of them is late and those with
// much work run out of time. With a queue that is bounded by the objective, the
// endpoint completes as many, in time.
//
// More urgent requests find room that less urgent ones leave. The room that a
// request must leave grows with the work that it brings: a short one costs the
// urgent ones little, and refusing it would gain them nothing.
package loadshed
