package faults

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/process/settings"
)

// certFiles are the paths of a certificate, its key and its CA.
type certFiles struct {
	cert, key, authority string
	pool                 *x509.CertPool
}

// certificates creates a CA and a certificate for loopback.
func certificates(c *qt.C) certFiles {
	folder := c.TempDir()
	f := certFiles{filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem"), filepath.Join(folder, "ca.pem"), x509.NewCertPool()}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	c.Assert(err, qt.IsNil)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "router"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	writePEM(c, f.authority, "CERTIFICATE", authorityDER)
	writePEM(c, f.cert, "CERTIFICATE", leafDER)
	writePEM(c, f.key, "EC PRIVATE KEY", keyDER)
	parsed, err := x509.ParseCertificate(authorityDER)
	c.Assert(err, qt.IsNil)
	f.pool.AddCert(parsed)
	return f
}

func writePEM(c *qt.C, path, kind string, der []byte) {
	c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestKeysAndCertificatesAreRequired(t *testing.T) {
	c := qt.New(t)
	certs := certificates(c)
	cfg := smallConfig(1, 1)
	cfg.Workspaces[0].KeyHash = hashOf("workspace key")
	other := cfg.Workspaces[0]
	other.Name, other.KeyHash = "other", hashOf("other key")
	cfg.Workspaces = append(cfg.Workspaces, other)
	f, err := fleet.Start(fleet.Options{
		Config: cfg, Routers: 3, Log: logr.Discard(), Site: testbed.Options{},
		AdjustSettings: func(s *settings.Settings) {
			s.Access.OpenOnLoopback = false
			s.Access.OperatorKeyHash = hashOf("operator key")
			s.TLS = settings.TLS{
				PeerCert: certs.cert, PeerKey: certs.key, PeerCA: certs.authority,
				CallerCert: certs.cert, CallerKey: certs.key, OperatorCert: certs.cert, OperatorKey: certs.key,
			}
		},
	})
	c.Assert(err, qt.IsNil)
	defer f.Close()
	secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: certs.pool}}}
	for _, r := range f.Routers {
		await(c, "the view", r.Node.Joined)
	}

	address := "https://" + f.Routers[0].Settings.Listen.Operator.String()
	unauthorized, err := client.New(client.Options{Routers: []string{address}, Key: "wrong", HTTP: secure})
	c.Assert(err, qt.IsNil)
	_, err = unauthorized.Push(c.Context(), api.Push{Config: f.Site.Config})
	c.Assert(err, qt.ErrorMatches, ".*6001.*")
	operator, err := client.New(client.Options{Routers: []string{address}, Key: "operator key", HTTP: secure})
	c.Assert(err, qt.IsNil)
	_, err = operator.Push(c.Context(), api.Push{Config: f.Site.Config})
	c.Assert(err, qt.IsNil)
	c.Assert(f.WaitReady(c.Context()), qt.IsNil)

	status := func(workspace, key string) int {
		request, err := http.NewRequest(http.MethodPost, "https://"+f.CallerAddresses()[1]+"/v1/chat/completions", strings.NewReader(goodChat))
		c.Assert(err, qt.IsNil)
		request.Header.Set(caller.HeaderWorkspace, workspace)
		request.Header.Set(caller.HeaderKind, "chat")
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := secure.Do(request)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		return response.StatusCode
	}
	c.Check(status("w", "workspace key"), qt.Equals, http.StatusOK)
	c.Check(status("w", "other key"), qt.Equals, http.StatusUnauthorized)
	c.Check(status("other", "workspace key"), qt.Equals, http.StatusUnauthorized)
	c.Check(status("w", ""), qt.Equals, http.StatusUnauthorized)

	// A peer without a client certificate is rejected.
	conn, err := tls.Dial("tcp", f.Routers[0].Settings.Listen.Peer.String(), &tls.Config{RootCAs: certs.pool})
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	c.Check(err, qt.IsNotNil)
	checkGuarantees(c, f)
}
