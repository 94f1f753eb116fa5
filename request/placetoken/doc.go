// Package placetoken defines the key of a chat and the signed place token, which a
// caller sends with the chat's next request to name the endpoint that last cached its
// prefix. This hint is ignored if it is forged, expired, malformed or of another chat.
package placetoken
