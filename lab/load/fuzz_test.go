package load

import (
	"strings"
	"testing"
)

// FuzzAnswers feeds the readers of what comes from the fleet. None may panic,
// and none may take a text without an end mark for a whole stream.
func FuzzAnswers(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("data:\n\ndata: {\"choices\":[]}\n")
	f.Add(`{"choices":[{"message":{"content":"a"}}]}`)
	f.Add(`{"code":2002,"run":"not_run"}`)
	f.Add(`{"addresses":["127.0.0.1:1"],"ttl_ms":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		if _, err := readStream(strings.NewReader(body), func() {}); err == nil && !strings.Contains(body, "[DONE]") {
			t.Errorf("stream without end mark is taken for whole: %q", body)
		}
		_, _ = readWhole(strings.NewReader(body))
		_, _ = readService(strings.NewReader(body))
		_, _ = readRefused(strings.NewReader(body))
		if a, err := readAddresses(strings.NewReader(body)); err == nil && (len(a.Addresses) == 0 || a.TTLMs < 0) {
			t.Errorf("unusable addresses are taken: %q", body)
		}
	})
}
