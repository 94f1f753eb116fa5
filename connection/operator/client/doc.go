// Package client calls the operators' address of a router.
package client
