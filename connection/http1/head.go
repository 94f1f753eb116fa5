package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Values of Head.Length for a body of unknown length.
const (
	Chunked    int64 = -1
	UntilClose int64 = -2 // responses only: the body ends with the connection
)

// Errors of reading a head.
var (
	ErrMalformed  = errors.New("malformed HTTP message")
	ErrHeadTooBig = errors.New("HTTP head over the limit")
)

// Field is one header field as received.
type Field struct{ Name, Value string }

// Head is the start line and the header fields of a message.
type Head struct {
	Method       string // requests
	Target       string // requests: path and query as received
	Status       int    // responses
	Reason       string // responses
	MinorVersion int    // minor version of HTTP/1
	Fields       []Field

	Length           int64         // of the body, in bytes, or Chunked or UntilClose
	Close            bool          // the sender closes the connection after this message
	KeepAliveTimeout time.Duration // idle timeout of the sender; 0 if unknown
}

// Get returns the first value of a field, or "".
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if len(h.Fields[i].Name) == len(name) && strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Count returns how often a field occurs.
func (h *Head) Count(name string) int {
	n := 0
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			n++
		}
	}
	return n
}

// ReadRequest reads the head of a request. The head may have at most limit bytes.
func ReadRequest(r *bufio.Reader, limit int) (*Head, error) {
	block, err := readHeadBlock(r, limit)
	if err != nil {
		return nil, err
	}
	h, err := parseHead(block, true)
	if err != nil {
		return nil, err
	}
	if h.Count("Host") != 1 && h.MinorVersion > 0 {
		return nil, errors.Wrap(ErrMalformed, "expected exactly one Host field")
	}
	return h, h.parseFraming(true, "")
}

// ReadResponse reads the head of the response to a request with the given
// method. Interim responses (1xx) are skipped; 101 is malformed, as no request asks for another
// protocol. All heads together may have at most limit bytes.
func ReadResponse(r *bufio.Reader, limit int, method string) (*Head, error) {
	for {
		if err := expectPrefix(r, "HTTP/1."); err != nil {
			return nil, err
		}
		block, err := readHeadBlock(r, limit)
		if err != nil {
			return nil, err
		}
		limit -= len(block)
		h, err := parseHead(block, false)
		if err != nil {
			return nil, err
		}
		switch {
		case h.Status == http.StatusSwitchingProtocols:
			return nil, errors.Wrap(ErrMalformed, "change to another protocol that was not asked for")
		case h.Status < http.StatusOK:
			continue
		}
		return h, h.parseFraming(false, method)
	}
}

// expectPrefix returns an error at the first byte that differs from prefix, without
// waiting for those after it.
func expectPrefix(r *bufio.Reader, prefix string) error {
	for i := range len(prefix) {
		b, err := r.Peek(i + 1)
		if err == io.EOF && i > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if b[i] != prefix[i] {
			return errors.Wrapf(ErrMalformed, "expected %q", prefix)
		}
	}
	return nil
}

// parseHead parses the lines of a head as readHeadBlock returns them.
func parseHead(block string, request bool) (*Head, error) {
	var err error
	h := &Head{Fields: make([]Field, 0, 16)}
	line, rest, _ := strings.Cut(block, "\r\n")
	if request {
		err = h.parseRequestLine(line)
	} else {
		err = h.parseStatusLine(line)
	}
	if err != nil {
		return nil, err
	}
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !isToken(name) || !isFieldValue(value) {
			return nil, errors.Wrap(ErrMalformed, "invalid header field")
		}
		if !request && holdsStatusLine(value) {
			return nil, errors.Wrap(ErrMalformed, "head cut off by another response")
		}
		h.Fields = append(h.Fields, Field{Name: name, Value: value})
	}
	return h, nil
}

// readHeadBlock reads up to the empty line and returns the lines before it, each
// but the last with its CRLF.
func readHeadBlock(r *bufio.Reader, limit int) (string, error) {
	var block []byte
	for {
		line, err := r.ReadSlice('\n')
		if len(block)+len(line) > limit {
			return "", ErrHeadTooBig
		}
		if err == bufio.ErrBufferFull {
			block = append(block, line...)
			continue
		}
		if err != nil {
			if err == io.EOF && len(block)+len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		block = append(block, line...)
		if !bytes.HasSuffix(block, []byte("\r\n")) {
			return "", errors.Wrap(ErrMalformed, "bare line feed")
		}
		if len(line) == 2 && len(block) == 2 {
			return "", errors.Wrap(ErrMalformed, "empty start line")
		}
		if bytes.HasSuffix(block, []byte("\r\n\r\n")) {
			return string(block[:len(block)-4]), nil
		}
	}
}

func (h *Head) parseRequestLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || target == "" || target[0] != '/' || !isTarget(target) {
		return errors.Wrap(ErrMalformed, "invalid request line")
	}
	h.Method, h.Target = method, target
	return h.parseVersion(proto)
}

func (h *Head) parseStatusLine(line string) error {
	proto, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || status > 599 { // RFC 9110, section 15: other codes are invalid
		return errors.Wrap(ErrMalformed, "invalid status line")
	}
	if holdsStatusLine(reason) {
		return errors.Wrap(ErrMalformed, "status line cut off by another response")
	}
	h.Status, h.Reason = status, reason
	return h.parseVersion(proto)
}

func (h *Head) parseVersion(proto string) error {
	switch proto {
	case "HTTP/1.1":
		h.MinorVersion = 1
	case "HTTP/1.0":
		h.MinorVersion = 0
	default:
		return errors.Wrap(ErrMalformed, "unsupported protocol version")
	}
	return nil
}

// parseFraming determines how the body is delimited and whether the connection
// is kept alive.
func (h *Head) parseFraming(request bool, method string) error {
	length, coded := int64(-1), false
	h.Close = h.MinorVersion == 0
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil || length >= 0 || f.Value[0] == '+' {
				return errors.Wrap(ErrMalformed, "Content-Length")
			}
			length = int64(n)
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if coded || !strings.EqualFold(f.Value, "chunked") {
				return errors.Wrap(ErrMalformed, "Transfer-Encoding other than chunked")
			}
			coded = true
		case strings.EqualFold(f.Name, "Connection"):
			for _, option := range strings.Split(f.Value, ",") {
				switch strings.ToLower(strings.TrimSpace(option)) {
				case "close":
					h.Close = true
				case "keep-alive":
					h.Close = false
				}
			}
		case strings.EqualFold(f.Name, "Keep-Alive"):
			h.KeepAliveTimeout = idleTimeout(f.Value)
		}
	}
	if coded && (length >= 0 || h.MinorVersion == 0) {
		return errors.Wrap(ErrMalformed, "ambiguous framing")
	}
	switch {
	case !request && (h.Status == 204 || h.Status == 304 || method == "HEAD"):
		h.Length = 0
	case coded:
		h.Length = Chunked
	case length >= 0:
		h.Length = length
	case request:
		h.Length = 0
	default:
		h.Length, h.Close = UntilClose, true
	}
	return nil
}

func idleTimeout(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.ParseFloat(text, 64); err == nil && s > 0 && s < 1e6 {
				return time.Duration(s * float64(time.Second))
			}
		}
	}
	return 0
}

// IsHopByHop reports whether a field must not be passed on as received: it applies to one
// connection only or is set anew for the next. connectionField is the Connection field's value.
func IsHopByHop(name, connectionField string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect":
		return true
	}
	if connectionField == "" {
		return false
	}
	for _, option := range strings.Split(connectionField, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return true
}

func isFieldValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// holdsStatusLine reports whether a status line ends a text: the sender stopped there, and the fields
// that follow are those of another response.
func holdsStatusLine(s string) bool {
	const prefix, code = "HTTP/1.", "0 200"
	i := strings.LastIndex(s, prefix)
	if i < 0 || len(s) < i+len(prefix)+len(code) {
		return false
	}
	rest := s[i+len(prefix):]
	_, err := strconv.ParseUint(rest[2:len(code)], 10, 16)
	return err == nil && rest[1] == ' ' && (len(rest) == len(code) || rest[len(code)] == ' ')
}

func isTarget(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
