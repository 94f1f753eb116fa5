// Package api holds the messages between operators and routers, in JSON over HTTP.
// The server and the client share it.
package api
