// Package fleet starts a whole small fleet on loopback inside one process:
// routers with real connections, in front of the stand-ins of a deployment.
package fleet
