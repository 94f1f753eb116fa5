// Package fault injects faults into stand-ins by name. Every stand-in has a Set
// and calls Trigger at each step where a fault can occur.
package fault
