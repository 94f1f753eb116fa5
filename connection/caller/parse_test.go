package caller

import (
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

var (
	chatKind    = config.Kind{Name: "chat", Model: "m", Deadline: config.Duration(30 * time.Second)}
	serviceKind = config.Kind{Name: "book", Service: "s"}
)

func TestDeadlines(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
		code outcome.Code
	}{
		{"", 30 * time.Second, 0},
		{"1500", 1500 * time.Millisecond, 0},
		{"60000", 30 * time.Second, 0},
		{"0", 0, outcome.BadDeadline},
		{"-5", 0, outcome.BadDeadline},
		{"1e3", 0, outcome.BadDeadline},
		{"86400001", 0, outcome.BadDeadline},
		{"9223372036854775808", 0, outcome.BadDeadline},
	}
	for _, test := range tests {
		c := qt.New(t)
		got, refusal := readDeadline(test.text, &chatKind)
		c.Check(got, qt.Equals, test.want, qt.Commentf("%q", test.text))
		if test.code != 0 {
			c.Assert(refusal != nil, qt.IsTrue)
			c.Check(refusal.Code, qt.Equals, test.code)
			c.Check(refusal.Run, qt.Equals, outcome.RunNot)
		}
	}
}

func TestServicePathsKeepTheirEscapes(t *testing.T) {
	c := qt.New(t)
	target, err := url.Parse("/v1/services/s/a%2Fb/c?x=1&y=%20")
	c.Assert(err, qt.IsNil)
	job := &serve.Job{Kind: &serviceKind}
	refusal := prepareService(job, httprouter.Params{{Key: "service", Value: "s"}}, target)
	c.Assert(refusal == nil, qt.IsTrue)
	c.Check(job.Path, qt.Equals, "/a%2Fb/c?x=1&y=%20")
}

func TestKeysAreComparedByHash(t *testing.T) {
	c := qt.New(t)
	const hashOfSecret = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	c.Check(keyMatches("secret", hashOfSecret), qt.IsTrue)
	c.Check(keyMatches("secret", strings.ToUpper(hashOfSecret)), qt.IsTrue)
	c.Check(keyMatches("other", hashOfSecret), qt.IsFalse)
	c.Check(keyMatches("", ""), qt.IsFalse)
}

// FuzzChat checks that a body is refused as not run, or that the job gets the path
// at the endpoint.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"messages":null}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		job := &serve.Job{Kind: &chatKind, Body: body}
		refusal := prepareChat(job)
		if refusal == nil && job.Path == "" {
			t.Fatal("a job without a path was accepted")
		}
		if refusal != nil && refusal.Run != outcome.RunNot {
			t.Fatalf("refusal %v does not say that the request has not run", refusal)
		}
	})
}

func FuzzDeadline(f *testing.F) {
	f.Add("100")
	f.Add("-1")
	f.Add("٣")
	f.Fuzz(func(t *testing.T, text string) {
		got, refusal := readDeadline(text, &chatKind)
		if refusal == nil && (got <= 0 || got > chatKind.Deadline.Std()) {
			t.Fatalf("%q gave %v", text, got)
		}
	})
}
