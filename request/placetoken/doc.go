// Package placetoken defines the key of a chat and the signed place token, in
// which a caller returns the endpoint that last cached the chat's prefix. A token
// is a hint: one that is forged, of another chat, expired or malformed is ignored.
package placetoken
