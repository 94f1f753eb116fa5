// Package demo runs a small fleet of the cooperative's size on loopback, with
// callers that return to chats, bookings, and a zone taken out and brought
// back. Its counts come from the callers and the stand-ins.
package demo
