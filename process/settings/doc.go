// Package settings reads the static settings of a router process from a TOML
// file. What can change while the process runs is in package config instead.
package settings
