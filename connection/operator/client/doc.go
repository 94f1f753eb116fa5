// Package client calls the operators' API of a router.
package client
