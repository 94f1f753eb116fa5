// Package placetoken defines the key of a chat and the signed token with which a
// caller tells where the chat's prefix was cached last. A token is a hint: one
// that is forged, foreign, expired or malformed is ignored.
package placetoken
