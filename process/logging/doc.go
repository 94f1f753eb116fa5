// Package logging creates the logger of a process, which writes one JSON object per line.
package logging
