package placetoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Place is the endpoint that cached a chat's prefix when a token was issued.
type Place struct {
	Endpoint    string
	Incarnation uint64 // of the endpoint
	Tokens      int    // length of the cached prefix
	Issued      time.Time
}

const (
	// MinKeyBytes is the minimum length of a signing key.
	MinKeyBytes = 32
	// MaxTokenBytes is the maximum length of an encoded token.
	MaxTokenBytes = 256

	tokenVersion     = 1
	macBytes         = 16 // of the 32 bytes of HMAC-SHA256
	maxEndpointBytes = 128
	maxPrefixTokens  = 1 << 30
	// clockSkew is how far in the future a token may have been issued.
	clockSkew = time.Minute
)

// buffers is the memory that one call of a Signer uses, pooled to avoid allocation.
type buffers struct {
	mac  hash.Hash
	sum  [sha256.Size]byte
	chat [8]byte
	raw  [MaxTokenBytes]byte
}

// Signer signs and verifies tokens. It is safe for concurrent use.
type Signer struct {
	lifetime time.Duration
	pools    []*sync.Pool // one per key; the first key signs
}

// NewSigner returns a Signer whose tokens are valid for lifetime. Tokens are
// signed with key; those signed with one of the older keys are still accepted, so
// that a key can be replaced host by host.
func NewSigner(lifetime time.Duration, key []byte, older ...[]byte) (*Signer, error) {
	s := &Signer{lifetime: lifetime}
	for _, k := range append([][]byte{key}, older...) {
		if len(k) < MinKeyBytes {
			return nil, errors.Errorf("place key has %d bytes; at least %d are needed", len(k), MinKeyBytes)
		}
		k = append([]byte(nil), k...)
		s.pools = append(s.pools, &sync.Pool{New: func() any { return &buffers{mac: hmac.New(sha256.New, k)} }})
	}
	return s, nil
}

// Sign returns a token that names p, valid for chat. It returns "" if there is no
// chat, endpoint or cached prefix to report, or the endpoint's name is too long.
func (s *Signer) Sign(chat Chat, p Place) string {
	if chat == 0 || p.Endpoint == "" || len(p.Endpoint) > maxEndpointBytes || p.Tokens <= 0 {
		return ""
	}
	buf := make([]byte, 0, MaxTokenBytes)
	buf = append(buf, tokenVersion)
	buf = binary.BigEndian.AppendUint64(buf, p.Incarnation)
	buf = binary.AppendUvarint(buf, uint64(min(p.Tokens, maxPrefixTokens)))
	buf = binary.AppendUvarint(buf, uint64(max(p.Issued.Unix(), 0)))
	buf = append(buf, p.Endpoint...)
	b := s.pools[0].Get().(*buffers)
	buf = append(buf, b.computeMAC(chat, buf)...)
	s.pools[0].Put(b)
	return base64.RawURLEncoding.EncodeToString(buf)
}

// Verify returns the place in token, which must be signed for chat and be neither
// expired nor issued more than clockSkew in the future. It returns false otherwise.
func (s *Signer) Verify(now time.Time, chat Chat, token string) (Place, bool) {
	if chat == 0 || token == "" || len(token) > MaxTokenBytes {
		return Place{}, false
	}
	b := s.pools[0].Get().(*buffers)
	defer s.pools[0].Put(b)
	n, err := base64.RawURLEncoding.Decode(b.raw[:], []byte(token))
	if err != nil || n <= macBytes {
		return Place{}, false
	}
	payload, mac := b.raw[:n-macBytes], b.raw[n-macBytes:n]
	if !s.macMatches(b, chat, payload, mac) {
		return Place{}, false
	}
	p, ok := decode(payload)
	if !ok || now.Sub(p.Issued) > s.lifetime || p.Issued.Sub(now) > clockSkew {
		return Place{}, false
	}
	return p, true
}

// macMatches checks mac with the newest key, whose buffers are given, and the older keys.
func (s *Signer) macMatches(b *buffers, chat Chat, payload, mac []byte) bool {
	if hmac.Equal(b.computeMAC(chat, payload), mac) {
		return true
	}
	for _, pool := range s.pools[1:] {
		older := pool.Get().(*buffers)
		equal := hmac.Equal(older.computeMAC(chat, payload), mac)
		pool.Put(older)
		if equal {
			return true
		}
	}
	return false
}

// computeMAC returns the MAC of chat and payload. It is valid until the next call.
func (b *buffers) computeMAC(chat Chat, payload []byte) []byte {
	b.mac.Reset()
	binary.BigEndian.PutUint64(b.chat[:], uint64(chat))
	_, _ = b.mac.Write(b.chat[:])
	_, _ = b.mac.Write(payload)
	return b.mac.Sum(b.sum[:0])[:macBytes]
}

// decode parses the version, incarnation, cached tokens, time of issue and endpoint.
func decode(payload []byte) (Place, bool) {
	if len(payload) < 9 || payload[0] != tokenVersion {
		return Place{}, false
	}
	p := Place{Incarnation: binary.BigEndian.Uint64(payload[1:9])}
	rest := payload[9:]
	tokens, n := binary.Uvarint(rest)
	if n <= 0 || tokens > maxPrefixTokens {
		return Place{}, false
	}
	rest = rest[n:]
	issued, n := binary.Uvarint(rest)
	if n <= 0 || issued > 1<<40 {
		return Place{}, false
	}
	rest = rest[n:]
	if len(rest) == 0 || len(rest) > maxEndpointBytes {
		return Place{}, false
	}
	p.Tokens = int(tokens)
	p.Issued = time.Unix(int64(issued), 0)
	p.Endpoint = string(rest)
	return p, true
}
