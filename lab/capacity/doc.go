// Package capacity computes the resources that each role of a router needs at the
// size that the fleet is designed for. It extrapolates measurements at several
// sizes linearly, and writes the tables of docs/CAPACITY.md.
package capacity
