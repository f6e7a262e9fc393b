package protocol

import (
	"bytes"
	"strconv"
	"strings"

	"sedgespread/internal/transport"
)

// Size limits of an HTTP response.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 2 << 20
)

// response is an HTTP/1.1 response.
type response struct {
	status    int
	body      []byte
	mustClose bool // the connection cannot be reused
}

// formatGet returns a GET request.
func formatGet(host, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}

// readResponse reads a complete response.
func readResponse(c *transport.Conn) (r response, reason transport.CloseReason) {
	line, reason := readLine(c)
	if reason != transport.Open {
		return r, reason
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return r, transport.Malformed
	}
	r.status, r.mustClose = status, version == "HTTP/1.0"
	length, chunked, reason := r.readHeader(c)
	switch {
	case reason != transport.Open:
	case chunked:
		reason = r.readChunks(c)
	case length >= 0:
		reason = r.readBody(c, length)
	case status == 204 || status == 304:
	default:
		reason = r.readToEOF(c)
	}
	return r, reason
}

// readHeader reads the header fields. length is -1 if no Content-Length is given.
func (r *response) readHeader(c *transport.Conn) (length int, chunked bool, reason transport.CloseReason) {
	length = -1
	for remaining := maxHeaderBytes; remaining > 0; {
		line, reason := readLine(c)
		if reason != transport.Open || line == "" {
			return length, chunked, reason
		}
		remaining -= len(line) + 2
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
			r.mustClose = r.mustClose && value != "keep-alive" || value == "close"
		}
	}
	return 0, false, transport.TooLong
}

// readBody reads n more bytes into the body.
func (r *response) readBody(c *transport.Conn, n int) transport.CloseReason {
	if len(r.body)+n > maxBodyBytes {
		return transport.TooLong
	}
	for n > 0 {
		if reason := c.Await(1); reason != transport.Open {
			return closedToTruncated(reason)
		}
		part := make([]byte, min(n, c.Buffered()))
		c.Read(part)
		r.body = append(r.body, part...)
		n -= len(part)
	}
	return transport.Open
}

// readChunks reads a chunked body and its trailer.
func (r *response) readChunks(c *transport.Conn) transport.CloseReason {
	for {
		line, reason := readLine(c)
		if reason != transport.Open {
			return closedToTruncated(reason)
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return transport.Malformed
		}
		if reason := r.readBody(c, int(n)); reason != transport.Open {
			return reason
		}
		// A chunk ends with an empty line; only the last may have trailer fields.
		for inTrailer := true; inTrailer; {
			if line, reason = readLine(c); reason != transport.Open {
				return closedToTruncated(reason)
			}
			if inTrailer = line != ""; inTrailer && n > 0 {
				return transport.Malformed
			}
		}
		if n == 0 {
			return transport.Open
		}
	}
}

// readToEOF reads the body up to the end of the connection.
func (r *response) readToEOF(c *transport.Conn) transport.CloseReason {
	r.mustClose = true
	for len(r.body) < maxBodyBytes {
		switch reason := c.Await(1); reason {
		case transport.Open:
		case transport.ClosedByPeer:
			return transport.Open
		default:
			return reason
		}
		part := make([]byte, c.Buffered())
		c.Read(part)
		r.body = append(r.body, part...)
	}
	return transport.TooLong
}

// closedToTruncated maps ClosedByPeer within a message to Truncated.
func closedToTruncated(reason transport.CloseReason) transport.CloseReason {
	if reason == transport.ClosedByPeer {
		return transport.Truncated
	}
	return reason
}

// readLine reads a line and returns it without the line ending.
func readLine(c *transport.Conn) (string, transport.CloseReason) {
	for n := 1; n <= maxHeaderBytes; {
		if reason := c.Await(n); reason != transport.Open {
			return "", reason
		}
		buffered := make([]byte, min(c.Buffered(), maxHeaderBytes))
		c.Peek(buffered)
		if i := bytes.IndexByte(buffered, '\n'); i >= 0 {
			c.Read(buffered[:i+1])
			return strings.TrimSuffix(string(buffered[:i]), "\r"), transport.Open
		}
		n = len(buffered) + 1
	}
	return "", transport.TooLong
}
