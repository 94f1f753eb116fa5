// Package faults tests a small fleet in one process over real connections while
// its endpoints fail.
package faults
