// Package faultproxy is a TCP proxy that discards bytes, closes connections and delays
// bytes, as a faulty network does.
package faultproxy
