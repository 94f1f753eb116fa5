// Package demo runs the fleet of the example Voces Unidas on loopback, with callers
// that continue chats and book, and a zone taken out of service and brought back.
// Its counts come from the callers and the stand-ins.
package demo
