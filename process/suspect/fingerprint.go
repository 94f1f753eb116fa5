package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strconv"
)

// Fingerprint identifies requests of the same workspace, kind, method, path and body. 0 means none.
type Fingerprint uint64

// Key returns the rendezvous hashing key of the home of f.
func (f Fingerprint) Key() string {
	return strconv.FormatUint(uint64(f), 16)
}

// Digest computes a Fingerprint while a body is read. It is an io.Writer. The hash
// is cryptographic, so that it is hard to craft a body with the fingerprint of
// another.
type Digest struct {
	hash hash.Hash
}

// NewDigest starts the fingerprint of a request. target is the method and path of
// a call to a plain service, and empty otherwise.
func NewDigest(workspace, kind, target string) *Digest {
	d := &Digest{hash: sha256.New()}
	for _, part := range []string{workspace, kind, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.hash.Write(length[:])
		_, _ = d.hash.Write([]byte(part))
	}
	return d
}

// Write adds a part of the body.
func (d *Digest) Write(p []byte) (int, error) {
	return d.hash.Write(p)
}

// Sum returns the fingerprint.
func (d *Digest) Sum() Fingerprint {
	var sum [sha256.Size]byte
	d.hash.Sum(sum[:0])
	return Fingerprint(max(binary.BigEndian.Uint64(sum[:8]), 1)) // 0 means none
}

// FingerprintOf returns the fingerprint of a complete body.
func FingerprintOf(workspace, kind, target string, body []byte) Fingerprint {
	d := NewDigest(workspace, kind, target)
	_, _ = d.Write(body)
	return d.Sum()
}
