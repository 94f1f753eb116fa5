// Package listen runs the HTTP servers of the stand-ins.
package listen
