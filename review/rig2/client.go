package rig2

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

// Outcome is how a client's request ended.
type Outcome string

// The outcomes. Closed is a connection that ended without an answer, Unanswered one that stayed without.
const (
	Served     Outcome = "served"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Closed     Outcome = "closed"
	Unanswered Outcome = "unanswered"
	NoConn     Outcome = "not connected"
)

// Answer is what a client got.
type Answer struct {
	Outcome Outcome
	Value   string
	Code    string
	Empty   bool
	Took    time.Duration
}

// Client is a client's connection.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Connect connects to a driver and waits for its startup answer, at most until timeout.
func Connect(addr string, timeout time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c := &Client{conn, bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err = io.WriteString(conn, startup()); err == nil {
		err = c.awaitReady()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *Client) awaitReady() error {
	for {
		kind, body, err := readMessage(c.reader)
		switch {
		case err != nil:
			return err
		case kind == 'E':
			return errors.New(body)
		case kind == 'Z':
			return nil
		}
	}
}

// Send writes a query.
func (c *Client) Send(text string) error {
	_, err := io.WriteString(c, message('Q', text+"\x00"))
	return err
}

// Startup returns the startup message and a query behind it, for clients that send both at once.
func Startup(text string) string { return startup() + message('Q', text+"\x00") }

// Await reads the answer to a query, at most until a time.
func (c *Client) Await(until time.Time) (a Answer) {
	began := time.Now()
	c.SetReadDeadline(until)
	defer func() { a.Took = time.Since(began) }()
	complete := false
	for {
		kind, body, err := readMessage(c.reader)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			a.Outcome = Unanswered
			return a
		case err != nil && (complete || a.Code != ""):
			return a
		case err != nil:
			a.Outcome = Closed
			return a
		}
		switch kind {
		case 'D':
			if len(body) >= 6 {
				a.Value = body[6:]
			}
		case 'C':
			complete, a.Outcome = true, Served
		case 'I':
			a.Empty = true
		case 'E':
			a.Code, a.Outcome = "?", Failed
			for _, field := range strings.Split(body, "\x00") {
				if code, ok := strings.CutPrefix(field, "C"); ok {
					a.Code = code
				}
			}
			if a.Code == "53300" || a.Code == "57P03" {
				a.Outcome = Refused
			}
		case 'Z':
			if complete || a.Code != "" || a.Empty {
				return a
			}
		}
	}
}

// Ask connects, sends one query and reads its answer.
func Ask(addr, text string, timeout time.Duration) Answer {
	until := time.Now().Add(timeout)
	c, err := Connect(addr, timeout)
	if err != nil {
		return Answer{Outcome: NoConn}
	}
	defer c.Close()
	if c.Send(text) != nil {
		return Answer{Outcome: Closed}
	}
	return c.Await(until)
}

// Over returns a client over a connection on which the startup message was sent.
func Over(conn net.Conn) *Client { return &Client{conn, bufio.NewReader(conn)} }

// AwaitReady reads the answer to the startup message.
func (c *Client) AwaitReady(until time.Time) error {
	c.SetReadDeadline(until)
	return c.awaitReady()
}
