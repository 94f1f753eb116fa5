// Package weights is a stand-in for the platform's weight store, whose rate
// is shared by all loads: Store in the process, Server over HTTP.
package weights
