package protocol

import (
	"bytes"
	"strconv"
	"strings"

	"sedgespread/internal/transport"
)

const (
	mostHead = 16 << 10
	mostBody = 2 << 20
)

// response is an HTTP/1.1 response.
type response struct {
	status int
	body   []byte
	last   bool // the connection can't be used again
}

func get(host, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}

// readResponse waits for a whole response.
func readResponse(c *transport.Conn) (r response, end transport.CloseReason) {
	line, end := readLine(c)
	if end != transport.Open {
		return r, end
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return r, transport.Malformed
	}
	r.status, r.last = status, version == "HTTP/1.0"
	length, chunked, end := r.head(c)
	switch {
	case end != transport.Open:
	case chunked:
		end = r.chunks(c)
	case length >= 0:
		end = r.more(c, length)
	case status == 204 || status == 304:
	default:
		end = r.untilEnd(c)
	}
	return r, end
}

// head reads the header fields; length is -1 where none is given.
func (r *response) head(c *transport.Conn) (length int, chunked bool, end transport.CloseReason) {
	length = -1
	for left := mostHead; left > 0; {
		line, end := readLine(c)
		if end != transport.Open || line == "" {
			return length, chunked, end
		}
		left -= len(line) + 2
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return 0, false, transport.Malformed
		}
		switch value = strings.ToLower(strings.TrimSpace(value)); strings.ToLower(name) {
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return 0, false, transport.Malformed
			}
			length = n
		case "transfer-encoding":
			chunked = value == "chunked"
		case "connection":
			r.last = r.last && value != "keep-alive" || value == "close"
		}
	}
	return 0, false, transport.TooLong
}

// more reads n more bytes of the body.
func (r *response) more(c *transport.Conn, n int) transport.CloseReason {
	if len(r.body)+n > mostBody {
		return transport.TooLong
	}
	for n > 0 {
		if end := c.Await(1); end != transport.Open {
			return cutShort(end)
		}
		part := make([]byte, min(n, c.Buffered()))
		c.Read(part)
		r.body = append(r.body, part...)
		n -= len(part)
	}
	return transport.Open
}

func (r *response) chunks(c *transport.Conn) transport.CloseReason {
	for {
		line, end := readLine(c)
		if end != transport.Open {
			return cutShort(end)
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return transport.Malformed
		}
		if end := r.more(c, int(n)); end != transport.Open {
			return end
		}
		for trailer := true; trailer; { // one empty line after a chunk, any others only after the last
			if line, end = readLine(c); end != transport.Open {
				return cutShort(end)
			}
			if trailer = line != ""; trailer && n > 0 {
				return transport.Malformed
			}
		}
		if n == 0 {
			return transport.Open
		}
	}
}

func (r *response) untilEnd(c *transport.Conn) transport.CloseReason {
	r.last = true
	for len(r.body) < mostBody {
		switch end := c.Await(1); end {
		case transport.Open:
		case transport.ClosedByPeer:
			return transport.Open
		default:
			return end
		}
		part := make([]byte, c.Buffered())
		c.Read(part)
		r.body = append(r.body, part...)
	}
	return transport.TooLong
}

func cutShort(end transport.CloseReason) transport.CloseReason {
	if end == transport.ClosedByPeer {
		return transport.Truncated
	}
	return end
}

// readLine waits for a line, and gives it without its end.
func readLine(c *transport.Conn) (string, transport.CloseReason) {
	for n := 1; n <= mostHead; {
		if end := c.Await(n); end != transport.Open {
			return "", end
		}
		held := make([]byte, min(c.Buffered(), mostHead))
		c.Peek(held)
		if i := bytes.IndexByte(held, '\n'); i >= 0 {
			c.Read(held[:i+1])
			return strings.TrimSuffix(string(held[:i]), "\r"), transport.Open
		}
		n = len(held) + 1
	}
	return "", transport.TooLong
}
