// Package http1 reads HTTP/1 messages and pools the connections to endpoints on the
// path that forwards requests. net/http, which is used everywhere else, merges
// headers, accepts two framings at once, retries by itself and detects that a
// caller closed its connection only after the request's body was read.
//
// Reading a request is strict: whatever two parsers could frame differently is
// an error, which prevents request smuggling. Reading a response is as strict
// about its framing, since endpoints may send bytes that belong to no request.
package http1
