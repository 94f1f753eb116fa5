// Package fleet starts a small fleet on loopback in one process: routers with real
// connections in front of the stand-ins of a deployment.
package fleet
