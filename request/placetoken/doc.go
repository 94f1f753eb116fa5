// Package placetoken defines the key of a chat and the signed place token, which a
// caller sends with the chat's next request to name the endpoint that last cached its
// prefix. It is a hint: a forged, expired or malformed one or another chat's is ignored.
package placetoken
