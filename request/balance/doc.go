// Package balance chooses the endpoint of one request. It is given what is
// known of the candidates and does no I/O.
//
// Affinity answers for prompt-cache reuse under churn: requests with the same
// prompt key stay with the endpoints that had the last ones, until these have
// more than their bound of the work. A new key goes where rendezvous hashing
// ranks first, on which routers agree before they hear of one another. LeastBusy answers for short requests to plain services,
// where a slow or distant endpoint costs more than its queue.
package balance
