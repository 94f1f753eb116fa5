package endpoint

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/connection/namedcall"
)

const (
	// dialTimeout bounds the set-up of a connection to an endpoint, and a detachedContext.
	dialTimeout = time.Second
	// idleTimeout is how long an unused pooled connection is kept.
	idleTimeout = 15 * time.Second
	// idlePerEndpoint is the number of pooled connections per endpoint.
	idlePerEndpoint = 64
	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
	// bufferBytes is the size of the buffers of one connection.
	bufferBytes = 4 << 10
)

// Client sends requests to endpoints. It is safe for concurrent use.
//
// Two transports are used. Requests that may be retried share pooled
// connections. Each non-idempotent request gets a new connection, so that a
// pooled connection that has died cannot leave its outcome unknown. So do calls
// to an endpoint whose responses to them name no request.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport
	scheme   string

	maxCacheBytes int64 // bounds one exported KV cache
	calls         *namedcall.Client
}

// NewClient returns a Client. tlsConfig may be nil for plain connections.
func NewClient(tlsConfig *tls.Config) *Client {
	pooled := newTransport(tlsConfig)
	unpooled := newTransport(tlsConfig)
	unpooled.DisableKeepAlives = true
	client := &Client{pooled: pooled, unpooled: unpooled, scheme: "http", maxCacheBytes: maxCacheBytes, calls: namedcall.New(pooled, unpooled)}
	if tlsConfig != nil {
		client.scheme = "https"
	}
	return client
}

func newTransport(tlsConfig *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
	}}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return http1.KeepFailure(conn), nil
		},
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    dialTimeout,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	namedcall.Prepare(transport)
	return transport
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// transport returns the transport for a request. RoundTrip is called on it
// directly, so that redirects are never followed.
func (c *Client) transport(newConnection bool) http.RoundTripper {
	if newConnection {
		return c.unpooled
	}
	return c.pooled
}

// detachedContext returns a context that ends after dialTimeout, for work that must
// outlive a request, such as cancelling it at the endpoint.
func detachedContext(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(parent), dialTimeout)
}
