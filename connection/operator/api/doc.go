// Package api holds the messages between operators and routers, in JSON over
// HTTP. Server and client share it.
package api
