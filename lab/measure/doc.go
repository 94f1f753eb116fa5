// Package measure runs the decision code of the request path under a virtual
// clock with fixed seeds, compares it with baselines under the same traffic, and
// writes the figures as JSON, as a table and as a plot.
//
// It is a discrete event simulation with simple endpoint models and a fixed network
// delay. It compares decisions; it is not a simulator of the cluster. The exception
// is the measurement called speed, which uses real connections in real time.
package measure
