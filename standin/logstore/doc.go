// Package logstore is a stand-in for the platform's append-only log. Memory can
// run under a virtual clock; Server serves it over HTTP.
package logstore
