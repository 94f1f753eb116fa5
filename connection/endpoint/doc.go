// Package endpoint sends requests to endpoints and reads their answers, load
// reports and cache events. It tells for each attempt whether the request can
// have been executed.
package endpoint
