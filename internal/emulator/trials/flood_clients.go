package trials

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// FloodForm is what the clients of a ClientFlood send.
type FloodForm string

// The forms of a ClientFlood. Unless it says otherwise, a client sends as fast as it can and reads the answers.
const (
	FloodNone         FloodForm = "none"
	FloodEmpty        FloodForm = "empty queries"
	FloodUnread       FloodForm = "empty queries whose answers are never read"
	FloodUnsound      FloodForm = "unsound statements"
	FloodNewIDs       FloodForm = "sound statements under new ids"
	FloodSet          FloodForm = "SET"
	FloodExtended     FloodForm = "extended messages"
	FloodManyFields   FloodForm = "statements of very many fields"
	FloodReconnect    FloodForm = "an unsound message on a new connection each time"
	FloodHalfMessages FloodForm = "half a large statement and then silence"
	FloodSlow         FloodForm = "a large statement written slowly"
	FloodAndGone      FloodForm = "many statements at once and then gone"
	FloodConnect      FloodForm = "connections that are closed at once"
	FloodStartup      FloodForm = "connections that are started and closed"
	FloodCancel       FloodForm = "cancel requests"
	FloodEncryption   FloodForm = "requests for encryption again and again"
	FloodPieces       FloodForm = "large statements in pieces of one byte"
	FloodStartupPiece FloodForm = "large startup messages in pieces of one byte"
)

// FloodForms are all forms, in the order of the results' table.
var FloodForms = []FloodForm{FloodNone, FloodEmpty, FloodUnread, FloodUnsound, FloodNewIDs, FloodSet, FloodExtended, FloodManyFields,
	FloodReconnect, FloodHalfMessages, FloodSlow, FloodAndGone, FloodConnect, FloodStartup, FloodCancel, FloodEncryption, FloodPieces,
	FloodStartupPiece}

const (
	startupPacket    = "\x00\x00\x00\x08\x00\x03\x00\x00"
	cancelPacket     = "\x00\x00\x00\x10\x04\xd2\x16\x2eprocessk" // of a session that does not exist
	encryptionPacket = "\x00\x00\x00\x08\x04\xd2\x16\x2f"
	floodBatch       = 500 // messages written at once
	floodFields      = 12_000
	largeValueDigits = 128 << 10
	halfMessageBytes = 120 << 10
	startupBytes     = 10_000 // of a startup message of the largest size
	piecesAtOnce     = 10
	slowPieceBytes   = 512
	slowPause        = 10 * time.Millisecond
	goneBatch        = 3000     // statements of a client that sends many at once
	floodSendBytes   = 64 << 10 // that the system keeps of what a client has written, as if on a machine of its own
	reconnectDelay   = 10 * time.Millisecond
)

// pgMessage encodes a message of PostgreSQL's protocol.
func pgMessage(kind, body string) string {
	return kind + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

func pgQuery(text string) string { return pgMessage("Q", text+"\x00") }

// floodStatement returns a statement with an id. Fields go into its comment.
func floodStatement(isWrite bool, id, fields string) string {
	if isWrite {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('k', '\x9f03') RETURNING content /* id=%s,c=put,d=%d,cluster=1%s */`,
			id, usualTimeout.Milliseconds(), fields)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%s,c=get,d=%d,cluster=1%s */", id, usualTimeout.Milliseconds(), fields)
}

// largeStatement returns a write with a value of the largest size.
func largeStatement(id string) string {
	return strings.Replace(floodStatement(true, id, ""), "9f03", strings.Repeat("9f", largeValueDigits/2), 1)
}

// idPrefix returns the part of an id that names its client's connection.
func idPrefix(id string) string {
	prefix, _, _ := strings.Cut(id, "-")
	return prefix
}

// floodClient is a client that does what its form says until its context ends, on one connection after another.
type floodClient struct {
	address string
	name    string
	form    FloodForm
	closes  *closeRecord
	opened  int
}

func (c *floodClient) run(ctx context.Context) {
	for ctx.Err() == nil && c.form != FloodNone {
		c.runConnection(ctx)
		if !c.form.isOfConnections() {
			sleep(ctx, reconnectDelay)
		}
	}
}

// isOfConnections reports whether the form is one of very many connections, which are opened as fast as possible.
func (f FloodForm) isOfConnections() bool {
	switch f {
	case FloodReconnect, FloodConnect, FloodStartup, FloodCancel, FloodEncryption, FloodStartupPiece:
		return true
	}
	return false
}

// startupText returns what a client of this form sends first.
func (f FloodForm) startupText() string {
	switch f {
	case FloodConnect, FloodStartupPiece:
		return ""
	case FloodCancel:
		return cancelPacket
	case FloodEncryption:
		return strings.Repeat(encryptionPacket, floodBatch)
	}
	return startupPacket
}

// runConnection opens a connection and uses it until it ends.
func (c *floodClient) runConnection(ctx context.Context) {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return
	}
	conn.(*net.TCPConn).SetWriteBuffer(floodSendBytes)
	c.opened++
	prefix := fmt.Sprintf("%s.%d", c.name, c.opened)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var reading sync.WaitGroup
	if c.form != FloodUnread {
		reading.Go(func() {
			io.Copy(io.Discard, conn)
			conn.Close()
		})
	}
	io.WriteString(conn, c.form.startupText())
	c.send(ctx, conn, prefix)
	conn.Close()
	c.closes.recordClose(prefix)
	reading.Wait()
}

// send writes what the form asks for, until the connection or the context ends.
func (c *floodClient) send(ctx context.Context, conn net.Conn, prefix string) {
	switch c.form {
	case FloodEmpty, FloodUnread:
		writeRepeatedly(ctx, conn, strings.Repeat(pgQuery(""), floodBatch))
	case FloodUnsound:
		writeRepeatedly(ctx, conn, strings.Repeat(pgQuery("SELECT nothing"), floodBatch))
	case FloodSet:
		writeRepeatedly(ctx, conn, strings.Repeat(pgQuery("SET x = 1"), floodBatch))
	case FloodExtended:
		writeRepeatedly(ctx, conn, strings.Repeat(pgMessage("P", "\x00SELECT 1\x00\x00\x00")+pgMessage("S", ""), floodBatch))
	case FloodNewIDs:
		c.sendStatements(ctx, conn, prefix, "")
	case FloodManyFields:
		c.sendStatements(ctx, conn, prefix, strings.Repeat(",a=1", floodFields))
	case FloodReconnect:
		io.WriteString(conn, pgMessage("?", "what is this"))
		io.Copy(io.Discard, conn)
	case FloodCancel:
		io.Copy(io.Discard, conn)
	case FloodEncryption:
		writeRepeatedly(ctx, conn, c.form.startupText())
	case FloodPieces:
		for ctx.Err() == nil && writeBytewise(conn, pgQuery(largeStatement(prefix))) {
		}
	case FloodStartupPiece:
		writeBytewise(conn, "\x00\x00\x27\x10\x00\x03\x00\x00"+strings.Repeat("x", startupBytes-9))
		io.Copy(io.Discard, conn)
	case FloodHalfMessages:
		io.WriteString(conn, pgQuery(largeStatement(prefix))[:halfMessageBytes])
		<-ctx.Done()
	case FloodSlow:
		writeSlowly(ctx, conn, pgQuery(largeStatement(prefix)))
	case FloodAndGone:
		var text strings.Builder
		for n := range goneBatch {
			text.WriteString(pgQuery(floodStatement(true, fmt.Sprintf("%s-%d", prefix, n), "")))
		}
		io.WriteString(conn, text.String())
	}
}

// sendStatements sends sound statements, each under a new id.
func (c *floodClient) sendStatements(ctx context.Context, conn net.Conn, prefix, fields string) {
	for n := 0; ctx.Err() == nil; n++ {
		if _, err := io.WriteString(conn, pgQuery(floodStatement(n%4 == 0, fmt.Sprintf("%s-%d", prefix, n), fields))); err != nil {
			return
		}
	}
}

// writeRepeatedly writes a text again and again.
func writeRepeatedly(ctx context.Context, conn net.Conn, text string) {
	for ctx.Err() == nil {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// writeBytewise writes a text in pieces of one byte and reports whether that was possible. It leaves the processors to
// others at times, as clients on machines of their own would.
func writeBytewise(conn net.Conn, text string) bool {
	for n := range len(text) {
		if n%piecesAtOnce == 0 {
			time.Sleep(time.Millisecond)
		}
		if _, err := io.WriteString(conn, text[n:n+1]); err != nil {
			return false
		}
	}
	return true
}

// writeSlowly writes a text in small pieces.
func writeSlowly(ctx context.Context, conn net.Conn, text string) {
	for len(text) > 0 && ctx.Err() == nil {
		n := min(slowPieceBytes, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		sleep(ctx, slowPause)
	}
}

// requestEnd is what became of a usual client's request.
type requestEnd int

const (
	requestServed requestEnd = iota
	requestRefused
	requestFailed
	requestUnanswered
	requestEnded
	requestCrossed
)

// usualClient is a client that keeps its connection and asks one request after another.
type usualClient struct {
	address string
	name    string
	rng     *rand.Rand
	asked   int
	conn    net.Conn
	reader  *bufio.Reader
}

// run asks until the context ends. A request that crosses the end of its connection is sent once more.
func (c *usualClient) run(ctx context.Context, record func() *requestRecord) {
	defer c.close()
	sleep(ctx, time.Duration(c.rng.Int64N(int64(usualPause))))
	for ctx.Err() == nil {
		target := record()
		end, latency := c.ask(false)
		if end == requestCrossed {
			target.add(end, latency)
			end, latency = c.ask(true)
		}
		target.add(end, latency)
		sleep(ctx, usualPause)
	}
}

// ask sends a request and waits for its answer. A connection that ends is a crossing only at the first try.
func (c *usualClient) ask(isSecond bool) (requestEnd, time.Duration) {
	if c.conn == nil && !c.connect() {
		return requestUnanswered, 0
	}
	c.asked++
	id := fmt.Sprintf("%s-%d", c.name, c.asked)
	startedAt := time.Now()
	c.conn.SetDeadline(startedAt.Add(unansweredAfter))
	_, err := io.WriteString(c.conn, pgQuery(floodStatement(c.rng.IntN(4) == 0, id, "")))
	end := requestEnded
	if err == nil {
		end, err = c.readAnswer()
	}
	latency := time.Since(startedAt)
	switch {
	case err == nil:
		return end, latency
	case errors.Is(err, os.ErrDeadlineExceeded):
		end = requestUnanswered
	case latency <= crossingSlack && !isSecond:
		end = requestCrossed
	default:
		end = requestEnded
	}
	c.close()
	return end, latency
}

// connect opens a connection and completes its startup.
func (c *usualClient) connect() bool {
	conn, err := net.DialTimeout("tcp", c.address, unansweredAfter)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	conn.SetDeadline(time.Now().Add(unansweredAfter))
	io.WriteString(conn, startupPacket)
	if _, err = c.readAnswer(); err != nil {
		c.close()
		return false
	}
	return true
}

func (c *usualClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// readAnswer reads messages up to ReadyForQuery.
func (c *usualClient) readAnswer() (end requestEnd, err error) {
	for {
		var header [5]byte
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return requestEnded, err
		}
		body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
		if _, err := io.ReadFull(c.reader, body); err != nil {
			return requestEnded, err
		}
		switch header[0] {
		case 'Z':
			return end, nil
		case 'E':
			end = requestFailed
			if text := string(body); strings.Contains(text, "\x00C53300\x00") || strings.Contains(text, "\x00C57P03\x00") {
				end = requestRefused
			}
		}
	}
}
