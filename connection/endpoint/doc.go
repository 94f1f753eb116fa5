// Package endpoint sends requests to endpoints and reads their responses, load
// reports and cache events. For each attempt it determines whether the request
// may have been executed.
package endpoint
