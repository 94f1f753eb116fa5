package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/settings"
)

// minPlaceKeyBytes is the minimum length of the place key without white space at its ends.
const minPlaceKeyBytes = 32

// PeerTLS returns the server and client configurations of mutual TLS between
// routers. Both are nil if the settings name no certificate.
func PeerTLS(s settings.TLS) (server, client *tls.Config, err error) {
	if s.PeerCert == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.PeerCert, s.PeerKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "tls.peer_cert and tls.peer_key: name a certificate and its key in PEM")
	}
	authorities, err := readCertPool(s.PeerCA)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		MinVersion:   tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
		MinVersion:   tls.VersionTLS13,
	}
	return server, client, nil
}

func readCertPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "tls.peer_ca: name the certificate of the authority that signs the routers' certificates")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("tls.peer_ca: %s holds no certificate in PEM", path)
	}
	return authorities, nil
}

// ListenerTLS returns the TLS configuration of a listener for callers or
// operators, or nil if cert is empty.
func ListenerTLS(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: name a certificate and its key in PEM", cert)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// PlaceKey reads the key that signs place tokens, without white space at its
// ends. It returns nil if path is empty.
func PlaceKey(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "access.place_key_file")
	}
	key := []byte(strings.TrimSpace(string(data)))
	if len(key) < minPlaceKeyBytes {
		return nil, errors.Errorf("access.place_key_file: %s has %d bytes, at least %d are needed", path, len(key), minPlaceKeyBytes)
	}
	return key, nil
}
