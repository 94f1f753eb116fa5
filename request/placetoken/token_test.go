package placetoken

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	testKey = []byte(strings.Repeat("k", MinKeyBytes))
	oldKey  = []byte(strings.Repeat("o", MinKeyBytes))
)

func testPlace() Place {
	return Place{Endpoint: "adapt-3", Incarnation: 7, Tokens: 4096, Issued: testNow}
}

func TestTokenIsValidOnlyForItsChatAndLifetime(t *testing.T) {
	c := qt.New(t)
	s, err := NewSigner(time.Hour, testKey)
	c.Assert(err, qt.IsNil)
	chat := ChatOf("studio", "loop-1")
	token := s.Sign(chat, testPlace())
	c.Assert(len(token) <= MaxTokenBytes, qt.IsTrue)

	got, ok := s.Verify(testNow.Add(time.Minute), chat, token)
	c.Assert(ok, qt.IsTrue)
	c.Check(got.Endpoint, qt.Equals, "adapt-3")
	c.Check(got.Incarnation, qt.Equals, uint64(7))
	c.Check(got.Tokens, qt.Equals, 4096)

	_, ok = s.Verify(testNow, ChatOf("other", "loop-1"), token)
	c.Check(ok, qt.IsFalse)
	_, ok = s.Verify(testNow.Add(time.Hour+time.Second), chat, token)
	c.Check(ok, qt.IsFalse)
	_, ok = s.Verify(testNow.Add(-2*time.Minute), chat, token)
	c.Check(ok, qt.IsFalse)
}

func TestModifiedTokenIsRejected(t *testing.T) {
	c := qt.New(t)
	s, err := NewSigner(time.Hour, testKey)
	c.Assert(err, qt.IsNil)
	chat := ChatOf("studio", "loop-1")
	token := s.Sign(chat, testPlace())
	for i := range len(token) - 1 {
		changed := []byte(token)
		changed[i] = 'A' + (changed[i]-'A'+1)%26
		_, ok := s.Verify(testNow, chat, string(changed))
		c.Check(ok, qt.IsFalse, qt.Commentf("byte %d", i))
	}
}

func TestKeyRotation(t *testing.T) {
	c := qt.New(t)
	before, err := NewSigner(time.Hour, oldKey)
	c.Assert(err, qt.IsNil)
	after, err := NewSigner(time.Hour, testKey, oldKey)
	c.Assert(err, qt.IsNil)
	chat := ChatOf("studio", "loop-1")
	_, ok := after.Verify(testNow, chat, before.Sign(chat, testPlace()))
	c.Check(ok, qt.IsTrue)
	_, ok = before.Verify(testNow, chat, after.Sign(chat, testPlace()))
	c.Check(ok, qt.IsFalse)
	_, err = NewSigner(time.Hour, []byte("short"))
	c.Check(err, qt.ErrorMatches, "place key has 5 bytes.*")
}

func FuzzVerifyAndParseSession(f *testing.F) {
	s, err := NewSigner(time.Hour, testKey)
	if err != nil {
		f.Fatal(err)
	}
	chat := ChatOf("studio", "loop-1")
	token := s.Sign(chat, testPlace())
	f.Add(token)
	f.Add("")
	f.Add(strings.Repeat("A", MaxTokenBytes+1))
	f.Fuzz(func(t *testing.T, text string) {
		got, ok := s.Verify(testNow, chat, text)
		if ok && got.Endpoint != "adapt-3" {
			t.Fatalf("forged token %q accepted as %+v", text, got)
		}
		session, ok := ParseSession(text)
		if ok && !strings.EqualFold(session.Session(), text) {
			t.Fatalf("session %q became %q", text, session.Session())
		}
	})
}
