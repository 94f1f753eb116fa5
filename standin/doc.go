// Package standin is the root of stand-ins for the systems around the fleet:
// model engines, plain services and the platform's services. Tests, the
// demonstration and measurements use them. Each counts what it executed,
// independently of the routers.
package standin
