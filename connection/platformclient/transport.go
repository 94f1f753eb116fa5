package platformclient

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/stoatmount/stoatmount/connection/namedcall"
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
	calls   *namedcall.Client
	kept    *http.Transport
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
	kept, fresh := newTransport(o.TLS), newTransport(o.TLS)
	fresh.DisableKeepAlives = true
	return &serviceClient{
		base:    scheme + "://" + o.Address.String(),
		timeout: timeout,
		calls:   namedcall.New(kept, fresh),
		kept:    kept,
	}
}

func newTransport(tlsConfig *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerService,
		DisableCompression:  true,
	}
	namedcall.Prepare(transport)
	return transport
}

// Close closes unused connections.
func (s *serviceClient) Close() {
	s.kept.CloseIdleConnections()
}
