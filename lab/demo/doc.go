// Package demo runs a fleet of the cooperative's size on loopback, with callers
// that continue chats and book, and a zone taken out of service and brought back.
// Its counts come from the callers and the stand-ins.
package demo
