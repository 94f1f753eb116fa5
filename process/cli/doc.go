// Package cli is the command line of the router process: command "serve" runs a
// node.Node with the settings of package settings, command "platform" a
// router.Router with the platform's file. A signal shuts it down.
package cli
