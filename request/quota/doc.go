// Package quota divides what an endpoint takes from all routers together into a whole
// number of requests for each router. It does no I/O and reads no clock.
//
// All routers compute the division from the demands that they told one another, in
// integers, so that the parts add up to the total while their views agree. A router
// that is not heard of keeps an equal part, as it may be partitioned and go on sending,
// and takes no more than that in its own view.
package quota
