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

// Place is where a chat's prefix was cached when a token was issued.
type Place struct {
	Endpoint    string
	Incarnation uint64 // boot number of the endpoint
	Tokens      int    // length of the cached prefix
	Issued      time.Time
}

const (
	// MinKeyBytes is the least length of a signing key.
	MinKeyBytes = 32
	// MaxTokenBytes is the largest length of a token in text form.
	MaxTokenBytes = 256

	tokenVersion     = 1
	macBytes         = 16
	maxEndpointBytes = 128
	maxTokens        = 1 << 30
	// clockSkew is how far ahead of now a token may have been issued.
	clockSkew = time.Minute
)

// scratch is what one call of a Signer works in, so that it need not allocate.
type scratch struct {
	mac  hash.Hash
	sum  [sha256.Size]byte
	chat [8]byte
	raw  [MaxTokenBytes]byte
}

// Signer signs and opens tokens. It is safe for concurrent use.
type Signer struct {
	lifetime time.Duration
	pools    []*sync.Pool // one per key; the first signs
}

// NewSigner returns a Signer whose tokens are valid for lifetime. Tokens are
// signed with key; those signed with one of the older keys are still opened,
// so that a key can be replaced host by host.
func NewSigner(lifetime time.Duration, key []byte, older ...[]byte) (*Signer, error) {
	s := &Signer{lifetime: lifetime}
	for _, k := range append([][]byte{key}, older...) {
		if len(k) < MinKeyBytes {
			return nil, errors.Errorf("place key has %d bytes; at least %d are needed", len(k), MinKeyBytes)
		}
		k = append([]byte(nil), k...)
		s.pools = append(s.pools, &sync.Pool{New: func() any { return &scratch{mac: hmac.New(sha256.New, k)} }})
	}
	return s, nil
}

// Sign returns the token that tells p for chat. It returns "" if there is
// nothing worth telling.
func (s *Signer) Sign(chat Chat, p Place) string {
	if chat == 0 || p.Endpoint == "" || len(p.Endpoint) > maxEndpointBytes || p.Tokens <= 0 {
		return ""
	}
	buf := make([]byte, 0, MaxTokenBytes)
	buf = append(buf, tokenVersion)
	buf = binary.BigEndian.AppendUint64(buf, p.Incarnation)
	buf = binary.AppendUvarint(buf, uint64(min(p.Tokens, maxTokens)))
	buf = binary.AppendUvarint(buf, uint64(max(p.Issued.Unix(), 0)))
	buf = append(buf, p.Endpoint...)
	work := s.pools[0].Get().(*scratch)
	buf = append(buf, work.code(chat, buf)...)
	s.pools[0].Put(work)
	return base64.RawURLEncoding.EncodeToString(buf)
}

// Verify returns the place that token tells for chat. It returns false for a
// token that is not to be trusted.
func (s *Signer) Verify(now time.Time, chat Chat, token string) (Place, bool) {
	if chat == 0 || token == "" || len(token) > MaxTokenBytes {
		return Place{}, false
	}
	work := s.pools[0].Get().(*scratch)
	defer s.pools[0].Put(work)
	n, err := base64.RawURLEncoding.Decode(work.raw[:], []byte(token))
	if err != nil || n <= macBytes {
		return Place{}, false
	}
	payload, mac := work.raw[:n-macBytes], work.raw[n-macBytes:n]
	if !s.verify(work, chat, payload, mac) {
		return Place{}, false
	}
	p, ok := decode(payload)
	if !ok || now.Sub(p.Issued) > s.lifetime || p.Issued.Sub(now) > clockSkew {
		return Place{}, false
	}
	return p, true
}

// verify checks mac with the newest key, which work has, and the older ones.
func (s *Signer) verify(work *scratch, chat Chat, payload, mac []byte) bool {
	if hmac.Equal(work.code(chat, payload), mac) {
		return true
	}
	for _, pool := range s.pools[1:] {
		older := pool.Get().(*scratch)
		equal := hmac.Equal(older.code(chat, payload), mac)
		pool.Put(older)
		if equal {
			return true
		}
	}
	return false
}

// code returns the code of chat and payload. It is valid until the next call.
func (w *scratch) code(chat Chat, payload []byte) []byte {
	w.mac.Reset()
	binary.BigEndian.PutUint64(w.chat[:], uint64(chat))
	_, _ = w.mac.Write(w.chat[:])
	_, _ = w.mac.Write(payload)
	return w.mac.Sum(w.sum[:0])[:macBytes]
}

func decode(payload []byte) (Place, bool) {
	if len(payload) < 9 || payload[0] != tokenVersion {
		return Place{}, false
	}
	p := Place{Incarnation: binary.BigEndian.Uint64(payload[1:9])}
	rest := payload[9:]
	tokens, n := binary.Uvarint(rest)
	if n <= 0 || tokens > maxTokens {
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
