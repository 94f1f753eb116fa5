// Package operate implements the commands of stoatctl. A command is a struct
// with kong tags and a Run method that gets an *Env; it is a field of CLI.
package operate
