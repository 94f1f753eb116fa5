// Package stricttoml reads TOML files strictly: it reports every unknown key and
// every value of the wrong form at once, each with its line and a remedy.
package stricttoml
