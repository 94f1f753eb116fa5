// Package admissionsim simulates admission control: overruns and lost capacity
// while admission owners change, cold starts, and the cost of membership. Runs
// use a virtual clock and fixed seeds; endpoints are simple models.
package admissionsim
