// Package logging makes the logger of a process: one JSON object per line.
package logging
