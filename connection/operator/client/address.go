package client

import (
	"net"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// baseURL returns router as a URL without a trailing slash.
func baseURL(router string) string {
	if !strings.Contains(router, "://") {
		router = "http://" + router
	}
	return strings.TrimRight(router, "/")
}

// neverConnected reports whether err means that no connection was opened, so
// that the request cannot have had an effect.
func neverConnected(err error) bool {
	var urlErr *url.Error
	var netErr *net.OpError
	return errors.As(err, &urlErr) && errors.As(err, &netErr) && netErr.Op == "dial"
}
