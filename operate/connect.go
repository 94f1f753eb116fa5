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

// Connection is embedded by commands that ask the routers.
type Connection struct {
	Router  []string `help:"Operators' address of a router, as IP:PORT or URL. The first that can be reached is asked." env:"STOATMOUNT_ROUTERS" sep:"," placeholder:"ADDRESS"`
	KeyFile string   `help:"File with the operators' key." env:"STOATMOUNT_KEY_FILE" placeholder:"FILE"`
	CA      string   `help:"File with the certificates that sign the routers', in PEM." env:"STOATMOUNT_CA" placeholder:"FILE"`
	As      string   `help:"Your name for the history." env:"STOATMOUNT_AS,USER" placeholder:"NAME"`
}

// given reports whether a router was named.
func (c *Connection) given() bool {
	return len(c.Router) > 0
}

// client returns a client of the routers.
func (c *Connection) client() (*client.Client, error) {
	if !c.given() {
		return nil, errors.New("name a router with --router or STOATMOUNT_ROUTERS")
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
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read the operators' key")
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
		return nil, errors.Errorf("%s holds no certificate in PEM", c.CA)
	}
	transport.TLSClientConfig.RootCAs = pool
	return transport, nil
}
