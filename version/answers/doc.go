// Package answers defines the questionnaire that a team fills in, validates the
// answers, and derives the configuration with a reason for each derived value.
package answers
