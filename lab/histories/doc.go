// Package histories runs random histories of a small fleet under a virtual
// clock: membership, admission, the configuration stream and the ledger
// together, with faults at random, alone and at once. It checks the promises
// all the time. A history is repeated by its seed.
package histories
