// Package faultproxy stands between two ends of TCP connections and makes packets
// vanish, cuts connections and delays bytes, as a network can.
package faultproxy
