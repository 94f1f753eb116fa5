// Package settings reads the static settings of a router process from a TOML
// file. The dynamic configuration is in package config.
package settings
