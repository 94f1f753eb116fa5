// Package answers holds the questionnaire that a team fills in, what is
// checked in it, and how the configuration is derived from it, each derived
// value with its reason.
package answers
