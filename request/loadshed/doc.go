// Package loadshed decides whether an endpoint admits one more request, or the
// request is refused at once with a retry time. It does no I/O and reads no
// clock.
//
// It covers overload: for seconds, more requests arrive than the endpoints of a
// service complete. An endpoint that admits all of them builds a queue longer
// than their objectives, so that every request is late and those with much work
// time out. With a queue bounded by the objective, the endpoint completes as
// many requests, in time.
//
// More urgent requests use capacity that less urgent ones must leave free. The
// capacity that a request must leave grows with its work: a short request hardly
// delays the urgent ones, so refusing it would not help them.
package loadshed
