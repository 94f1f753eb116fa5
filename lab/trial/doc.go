// Package trial runs the fleet that a questionnaire describes on loopback:
// a stand-in for every worker and for the platform at the answered addresses,
// a router for every entry host, and callers if wanted.
package trial
