// Package faults tests a whole small fleet in one process, with real
// connections, while its endpoints fail.
package faults
