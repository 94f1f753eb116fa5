// Package fleet starts the processes of a small deployment for the cases of a review, with
// the project's stand-ins of the platform's store and of endpoints around them, and callers
// that speak the platform's protocol. Everything listens on loopback addresses.
package fleet
