// Package feed follows a keyed topic of the platform's log: first the newest record
// of each key, then each new record. It handles expired history, stale reads,
// unresponsive connections and lost responses of the log, so that its users see each
// key move forward only.
package feed
