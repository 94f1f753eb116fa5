// Package pace learns how long requests take and bounds how long the next one may.
//
// The longest of the requests seen is no bound for the next one when few were seen, when
// sizes differ, or when they grow. A bound is therefore an upper quantile of the prediction for
// the next request, from what is known of it before it runs: the caller's estimate of its output
// tokens, else the most that it may have, else its route. Logarithms of times are taken as a linear
// function of the logarithm of the size, with normally distributed deviations; fewer requests seen, and
// sizes unlike those seen, give a wider bound. The largest deviation that was seen is always within it.
// A prompt that is larger than all that were seen widens it in proportion.
// No stream takes longer than with all the output that its request allows, at the speed of its service: the tokens of an event are
// learned from the estimates, which are right at the median.
// Requests of which less is known say nothing of those of which more is known, and the reverse.
// Those that have ended are the shorter ones; one in progress that has taken longer than their bound
// shows that they tell none.
// Endpoints may be slower now than they were for the runs that have ended: the events of the streams in progress
// show by how much. Earlier runs count with the time that their events would take now.
//
// It does no I/O and reads no clock. Lock order: Table.mu, then that of a run's speed.
package pace
