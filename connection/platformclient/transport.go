package platformclient

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// dialTimeout bounds the time to connect to a platform service.
	dialTimeout = 2 * time.Second
	// idleTimeout bounds how long an unused connection is kept, so that one that
	// broke without notice is not reused.
	idleTimeout = 15 * time.Second
	// keepAlivePeriod is the time between TCP keep-alive probes.
	keepAlivePeriod = 5 * time.Second
	// maxIdlePerService bounds the unused connections to one platform service.
	maxIdlePerService = 16
	// DefaultTimeout bounds one call if ClientOptions sets no timeout.
	DefaultTimeout = 3 * time.Second
)

// ClientOptions configures the client of a platform service.
type ClientOptions struct {
	Address netip.AddrPort
	TLS     *tls.Config   // nil: plain HTTP
	Timeout time.Duration // for one call, without the wait of a long poll
}

// serviceClient is the HTTP client of one platform service.
type serviceClient struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

func newServiceClient(o ClientOptions) *serviceClient {
	scheme := "http"
	if o.TLS != nil {
		scheme = "https"
	}
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     o.TLS,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerService,
		DisableCompression:  true,
	}
	return &serviceClient{
		base:    scheme + "://" + o.Address.String(),
		timeout: timeout,
		client:  &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// noRedirect keeps the client from sending a request a second time to the
// address that a redirect names.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes unused connections.
func (s *serviceClient) Close() {
	s.client.CloseIdleConnections()
}
