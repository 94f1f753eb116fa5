// Package fleet starts a whole small fleet on loopback inside one process:
// routers with real connections, before the stand-ins of a deployment.
package fleet
