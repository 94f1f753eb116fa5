// Package service is a stand-in for a plain service, for example a booking
// application. It counts every execution by the caller's key.
package service
