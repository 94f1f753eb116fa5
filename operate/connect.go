package operate

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/operator/client"
)

// Connection is embedded by commands that call routers.
type Connection struct {
	Router  []string `help:"Operator address of a router, as IP:PORT or URL. The first reachable one is used." env:"STOATMOUNT_ROUTERS" sep:"," placeholder:"ADDRESS"`
	KeyFile string   `help:"File with the operator key." env:"STOATMOUNT_KEY_FILE" placeholder:"FILE"`
	CA      string   `help:"File with the CA certificates of the routers, in PEM." env:"STOATMOUNT_CA" placeholder:"FILE"`
	As      string   `help:"Author name to record in the history." env:"STOATMOUNT_AS,USER" placeholder:"NAME"`
}

// given reports whether a router was given.
func (c *Connection) given() bool {
	return len(c.Router) > 0
}

// client returns a client for the routers.
func (c *Connection) client() (*client.Client, error) {
	if !c.given() {
		return nil, errors.New("no router given; use --router or STOATMOUNT_ROUTERS")
	}
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	transport, err := c.transport()
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{
		Routers: c.Router,
		Key:     key,
		Author:  c.As,
		HTTP:    &http.Client{Timeout: client.Timeout, Transport: transport},
	})
}

func (c *Connection) key() (string, error) {
	if c.KeyFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(c.KeyFile)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read operator key")
}

func (c *Connection) transport() (*http.Transport, error) {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13}}
	if c.CA == "" {
		return transport, nil
	}
	data, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s contains no PEM certificate", c.CA)
	}
	transport.TLSClientConfig.RootCAs = pool
	return transport, nil
}
