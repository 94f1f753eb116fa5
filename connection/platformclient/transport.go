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
	// idleTimeout is the longest time that an unused connection is kept, so
	// that a connection that went silent is not used again.
	idleTimeout = 15 * time.Second
	// keepAlivePeriod is the time between TCP keep-alive probes.
	keepAlivePeriod = 5 * time.Second
	// idlePerService bounds the unused connections to one platform service.
	idlePerService = 16
	// DefaultTimeout bounds one call where ClientOptions gives no bound.
	DefaultTimeout = 3 * time.Second
)

// ClientOptions says how a platform service is reached.
type ClientOptions struct {
	Address netip.AddrPort
	TLS     *tls.Config   // nil: plain HTTP
	Timeout time.Duration // for one call, without the wait of a long poll
}

// service is the HTTP side of one platform service.
type service struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

func newService(o ClientOptions) *service {
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
		MaxIdleConnsPerHost: idlePerService,
		DisableCompression:  true,
	}
	return &service{
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
func (s *service) Close() {
	s.client.CloseIdleConnections()
}
