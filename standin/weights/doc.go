// Package weights is a stand-in for the platform's weight store, whose rate
// is shared by all loads. Store is in the process; Server serves it over HTTP.
package weights
