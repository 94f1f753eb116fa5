// Package cli is the command line of the router process: it reads the
// settings, starts the process and ends it on a signal.
package cli
