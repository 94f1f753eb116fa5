// Package feed follows a keyed topic of the platform's log: first the newest
// record of each key, then each record as it comes. It hides expired history,
// stale reads, silence and lost answers of the log from those that use the
// records: a key never goes back to an older record.
package feed
