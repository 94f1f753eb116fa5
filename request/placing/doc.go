// Package placing chooses the endpoint of one request. It is given what is
// known of the candidates and does no I/O.
//
// Affinity answers for prompt-cache reuse under churn: requests with the same
// prompt key go to the endpoint that rendezvous hashing ranks first, which all
// routers agree on without a message, until that endpoint has more than its
// bound of the work. LeastBusy answers for short requests to plain services,
// where a slow or distant endpoint costs more than its queue.
package placing
