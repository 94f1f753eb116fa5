package load

import (
	"strings"
	"testing"
)

// FuzzResponses fuzzes the parsers of responses. None may panic or accept a stream
// without an end marker.
func FuzzResponses(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("data:\n\ndata: {\"choices\":[]}\n")
	f.Add(`{"choices":[{"message":{"content":"a"}}]}`)
	f.Add(`{"code":2002,"run":"not_run"}`)
	f.Add(`{"addresses":["127.0.0.1:1"],"ttl_ms":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		if _, err := readStream(strings.NewReader(body), func() {}); err == nil && !strings.Contains(body, "[DONE]") {
			t.Errorf("stream without end marker was accepted: %q", body)
		}
		_, _ = readJSON(strings.NewReader(body))
		_, _ = readService(strings.NewReader(body))
		_, _ = readRefusal(strings.NewReader(body))
		if a, err := readAddresses(strings.NewReader(body)); err == nil && (len(a.Addresses) == 0 || a.TTLMs < 0) {
			t.Errorf("unusable addresses were accepted: %q", body)
		}
	})
}
