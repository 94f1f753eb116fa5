// Package explain finds in collected logs why a request ended as it did: its
// own line, what its router believed of the endpoints it used, and whether that
// router reached the platform's store.
package explain
