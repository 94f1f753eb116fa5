// Package cli is the command line of the router process: command "serve" runs
// package process/node, command "platform" runs package process/router. It loads
// the settings, starts the process and shuts it down on a signal.
package cli
