// Package trial runs the fleet of a questionnaire on loopback: a stand-in for every
// worker and for the platform at the addresses of the questionnaire, a router for
// every entry host, and optional callers.
package trial
