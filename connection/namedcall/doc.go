// Package namedcall makes HTTP/1.1 calls on kept connections and takes no response to one
// call for that of another. A server may write an earlier response once more, and net/http
// takes the next response on a connection for that of the request in progress.
package namedcall
