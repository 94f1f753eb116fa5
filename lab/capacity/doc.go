// Package capacity works out what each role of a router needs at the size that
// the fleet is designed for, from slopes that were measured at several smaller
// sizes, and writes the tables of docs/CAPACITY.md.
package capacity
