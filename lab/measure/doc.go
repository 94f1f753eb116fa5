// Package measure drives the decision code of the request path with a virtual
// clock and fixed seeds, beside baselines on the same requests, and writes the
// figures as JSON, as a table and as a plot.
//
// It models endpoints as a discrete event queue and the network as one fixed
// delay. It is no cluster simulator: what it compares is decisions.
package measure
