// Package pool runs background work of a process on a bounded number of
// workers.
package pool
