// Package standin is the root of small stand-ins for the systems around the
// fleet: model engines, plain services and the platform's services. Tests,
// the demonstration and measurements use them. Each keeps its own record of
// what really happened.
package standin
