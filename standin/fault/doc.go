// Package fault switches the faults of stand-ins on and off by name. Every
// stand-in has a Set and asks it at the steps where a fault can strike.
package fault
