package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	ID        string
	Route     string
	Resumes   string // id of the attempt that brought the stream's first event
	LastEvent int
	Subject   int // that its prompt shares with others
	Deadline  time.Duration
	Patience  time.Duration // pause of the response after which the caller gives up; 0 is the deadline
}

// subjectIDs is the id of the prompt part of subject 0.
const subjectIDs = 0x5c1e0000

// Answer is what a caller got.
type Answer struct {
	SentAt   time.Time
	Status   int // 0 without the head of a response
	Body     string
	Events   int      // complete events
	Versions []string // of the events, each once in a row
	Complete bool     // the response was read to its end
	GaveUp   bool     // the caller closed the connection
	Err      error
	// RetryAfter is when the caller shall come back; 0 if the answer names no time.
	RetryAfter time.Duration
}

// Channel is a caller's connection to a router.
type Channel struct {
	Router string
	conn   net.Conn
	r      *bufio.Reader
}

// Connect opens a connection to a router.
func Connect(front string) (*Channel, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{Router: front, conn: conn, r: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Channel) Close() { _ = c.conn.Close() }

// Send sends a request and reads its answer. It records both.
func (f *Fleet) Send(c *Channel, q Request) Answer {
	a := Answer{SentAt: time.Now()}
	f.Record("caller: request %s of %s sent to %s, resumes %q after event %d", q.ID, q.Route, c.Router, q.Resumes, q.LastEvent)
	a.Err = c.exchange(q, &a)
	f.Record("caller: request %s got status %d, %d events of versions %v, complete %t, %v", q.ID, a.Status, a.Events, a.Versions, a.Complete, a.Err)
	return a
}

// SendTo sends a request on a new connection to a router, the next one if that accepts none. It returns
// false if no router does.
func (f *Fleet) SendTo(router int, q Request) (Answer, bool) {
	for i := range f.Routers {
		c, err := Connect(f.Routers[(router+i)%len(f.Routers)].Front)
		if err != nil {
			continue
		}
		defer c.Close()
		return f.Send(c, q), true
	}
	f.Record("caller: request %s not sent, as no router accepts a connection", q.ID)
	return Answer{}, false
}

func (c *Channel) exchange(q Request, a *Answer) error {
	patience := q.Patience
	if patience == 0 {
		patience = q.Deadline
	}
	last := a.SentAt.Add(q.Deadline)
	wait := func() {
		until := time.Now().Add(patience)
		if until.After(last) {
			until = last
		}
		_ = c.conn.SetReadDeadline(until)
	}
	body, more := "a body of "+q.ID, ""
	if q.Resumes != "" {
		more = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", q.Resumes, q.LastEvent)
	}
	text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"X-Model: m\r\nX-Token-Count: 40,80\r\nX-Prompt-Prefix: %x:30,%x:10\r\n%sContent-Length: %d\r\n\r\n%s",
		q.Route, Host, q.ID, q.Deadline.Milliseconds(), Key, subjectIDs+q.Subject, q.ID, more, len(body), body)
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	wait()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return a.fail(c, err)
	}
	a.Status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	var data []byte
	buf := make([]byte, 4096)
	for {
		wait()
		n, err := resp.Body.Read(buf)
		data = append(data, buf[:n]...)
		if err == io.EOF {
			a.Complete = true
			break
		}
		if err != nil {
			a.read(data)
			return a.fail(c, err)
		}
	}
	a.read(data)
	return nil
}

// fail closes the connection.
func (a *Answer) fail(c *Channel, err error) error {
	var timeout net.Error
	a.GaveUp = errors.As(err, &timeout) && timeout.Timeout()
	c.Close()
	return err
}

func (a *Answer) read(data []byte) {
	a.Body = string(data)
	if a.Status != http.StatusOK {
		return
	}
	for _, event := range strings.SplitAfter(a.Body, "\n\n") {
		_, version, found := strings.Cut(strings.TrimSuffix(event, "\n\n"), "\ndata: ")
		if !found || !strings.HasSuffix(event, "\n\n") {
			return
		}
		a.Events++
		if n := len(a.Versions); n == 0 || a.Versions[n-1] != version {
			a.Versions = append(a.Versions, version)
		}
	}
}

// Resolve asks up to three routers for the addresses of routers, as callers do. It returns nil
// if none names any.
func (f *Fleet) Resolve(first int) (addrs []string, ttl time.Duration) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range min(3, len(f.Routers)) {
		r := f.Routers[(first+i)%len(f.Routers)]
		resp, err := client.Get("http://" + r.Directory + "/stoatmount/resolve?name=" + Host + "&region=r&zone=z0")
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(answer.Addrs) > 0 {
			return answer.Addrs, time.Duration(answer.TTL * float64(time.Second))
		}
	}
	return nil, 0
}
