// Package service is a stand-in for a plain service, for example a booking
// application. It counts executions by idempotency key.
package service
