// Package httpserver runs the HTTP servers of the stand-ins.
package httpserver
