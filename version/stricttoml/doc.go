// Package stricttoml decodes TOML files strictly: it reports all unknown keys and
// all values of the wrong type in one pass, each with its line and a remedy.
package stricttoml
