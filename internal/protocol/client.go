package protocol

import (
	"encoding/binary"
	"strings"
	"sync/atomic"
	"time"

	"sedgespread/internal/transport"
)

// Codes of startup packets, as in PostgreSQL.
const (
	protocolVersion3  = 3 << 16
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	maxStartupBytes   = 10_000 // PostgreSQL's own limit
)

const startupHeaderBytes = 8 // length and code

const cancelKeyBytes = 8 // process and secret

// maxEncryptionRequests is how often a client may ask for encryption before its startup message: once for TLS and once
// for GSSAPI. One that goes on asking is no client.
const maxEncryptionRequests = 2

// Client is the server side of a client's connection.
type Client struct {
	*transport.Conn
	input *clientInput // takes the input once the handshake is done
	turn  *sessionTurn
}

// NewClient returns a Client whose input shares inputs with others.
func NewClient(conn *transport.Conn, inputs *Inputs) Client {
	return Client{Conn: conn, input: &clientInput{shared: inputs}, turn: &sessionTurn{pacer: inputs.pacer}}
}

// Close closes the connection and releases what its input holds.
func (c Client) Close(reason transport.CloseReason) {
	c.Conn.Close(reason)
	c.input.release()
}

// Linger ends the connection as Conn.Linger does and releases what its input holds. While draining, a query that has
// come since the last answer is refused: the session may get to the end of the connection much later than that.
func (c Client) Linger(timeout time.Duration, discardLimit int) {
	c.input.release()
	if c.input.shared.draining.Load() && c.HasUnreadInput() {
		c.sendFatal(StateCannotConnectNow, "the driver ends, trying again is harmless", transport.ShutDown)
	}
	c.Conn.Linger(timeout, discardLimit)
}

// Identity is the user and database named in a client's startup message.
type Identity struct{ User, Database string }

// CancelKey identifies a session. A client sends it on another connection to cancel the session's query.
type CancelKey struct{ Process, Secret uint32 }

// Handshake performs the startup handshake: it declines encryption and sends the client its key. For a
// cancel request it calls cancel with the requested key and returns ClosedByPeer.
func (c Client) Handshake(key CancelKey, cancel func(CancelKey)) (Identity, transport.CloseReason) {
	for declined := 0; ; declined++ {
		code, body, reason := c.readStartup()
		switch {
		case reason == transport.Malformed || reason == transport.TooLong || reason == transport.Stalled:
			return Identity{}, c.sendFatal(StateProtocolViolation, "the startup message can't be followed", reason)
		case reason != transport.Open:
			return Identity{}, reason
		case (code == sslRequestCode || code == gssEncRequestCode) && declined < maxEncryptionRequests:
			c.Write("N")
			if reason := c.Flush(); reason != transport.Open {
				return Identity{}, reason
			}
		case code == cancelRequestCode:
			if len(body) == cancelKeyBytes {
				cancel(CancelKey{binary.BigEndian.Uint32([]byte(body)), binary.BigEndian.Uint32([]byte(body[4:]))})
			}
			return Identity{}, transport.ClosedByPeer
		case code>>16 != protocolVersion3>>16:
			return Identity{}, c.sendFatal(StateNotSupported, "only version 3 of the protocol is spoken here", transport.Malformed)
		default:
			return parseIdentity(body), c.finishHandshake(code, key)
		}
	}
}

// parseIdentity reads the parameters of a startup message up to the first malformed one. As in
// PostgreSQL, the database defaults to the user's name.
func parseIdentity(text string) (id Identity) {
	for text != "" && text[0] != 0 {
		name, rest, hasName := strings.Cut(text, "\x00")
		value, next, hasValue := strings.Cut(rest, "\x00")
		if !hasName || !hasValue {
			break
		}
		switch text = next; name {
		case "user":
			id.User = value
		case "database":
			id.Database = value
		}
	}
	if id.Database == "" {
		id.Database = id.User
	}
	return id
}

// readStartup reads a startup packet, which has no kind, and returns its code and body.
func (c Client) readStartup() (code uint32, body string, reason transport.CloseReason) {
	if reason := c.Await(startupHeaderBytes); reason != transport.Open {
		return 0, "", reason
	}
	var header [startupHeaderBytes]byte
	c.Peek(header[:])
	length := binary.BigEndian.Uint32(header[:])
	if length < startupHeaderBytes {
		return 0, "", transport.Malformed
	}
	if length > maxStartupBytes {
		return 0, "", transport.TooLong
	}
	if reason := c.Await(int(length)); reason != transport.Open {
		return 0, "", reason
	}
	packet := make([]byte, length)
	c.Read(packet)
	return binary.BigEndian.Uint32(header[4:]), string(packet[startupHeaderBytes:]), transport.Open
}

// finishHandshake sends the messages that complete the startup.
func (c Client) finishHandshake(code uint32, key CancelKey) transport.CloseReason {
	if code > protocolVersion3 { // a later minor version: negotiate 3.0
		writeMessage(c.Conn, kindVersion, "\x00\x03\x00\x00", "\x00\x00\x00\x00")
	}
	writeMessage(c.Conn, kindAuthentication, "\x00\x00\x00\x00")
	for _, parameter := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}} {
		writeMessage(c.Conn, kindParameter, parameter[0], "\x00", parameter[1], "\x00")
	}
	keyBytes := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, key.Process), key.Secret)
	writeMessage(c.Conn, kindBackendKey, string(keyBytes))
	return c.sendReady()
}

// ReadQuery waits for the next simple query. receivedAt is when its last byte arrived, which may be long
// before the call if it was pipelined. Extended queries are answered with an error, and queries that could not
// be held with a refusal.
func (c Client) ReadQuery() (text string, receivedAt time.Time, reason transport.CloseReason) {
	for {
		c.awaitTurn()
		entry, reason := c.nextEntry()
		switch {
		case reason == transport.TooLong || reason == transport.Malformed || reason == transport.Stalled:
			return "", receivedAt, c.sendFatal(StateProtocolViolation, "the message can't be followed", reason)
		case reason != transport.Open:
			return "", receivedAt, reason
		case entry.refused > 0:
			reason = c.refuse(entry.refused)
		case entry.kind == kindQuery:
			if terminator := strings.IndexByte(entry.body, 0); terminator < 0 || terminator != len(entry.body)-1 {
				return "", receivedAt, c.sendFatal(StateProtocolViolation, "the query is not one string", transport.Malformed)
			}
			return entry.body[:len(entry.body)-1], entry.receivedAt, transport.Open
		case entry.kind == kindSync || strings.IndexByte(extendedKinds, entry.kind) < 0:
			return "", receivedAt, c.sendFatal(StateProtocolViolation, "a message of this kind can't be followed here", transport.Malformed)
		default:
			c.turn.charge(answerWork)
			reason = c.rejectExtended(entry.kind)
		}
		if reason != transport.Open {
			return "", receivedAt, reason
		}
	}
}

// sessionTurn is the work that a session does without a member, and when it may go on. Only the session uses it;
// others ask whether it waits.
type sessionTurn struct {
	pacer     *Pacer
	allowance workAllowance
	goesOnAt  atomic.Int64 // nanoseconds since the pacer's start, whatever the wall clock does
}

// charge adds work.
func (t *sessionTurn) charge(work time.Duration) {
	now := time.Now()
	t.goesOnAt.Store(int64(t.pacer.elapsed(now) + t.allowance.charge(t.pacer, now, work)))
}

// remaining returns how long the session still has to wait.
func (t *sessionTurn) remaining(now time.Time) time.Duration {
	return time.Duration(t.goesOnAt.Load()) - t.pacer.elapsed(now)
}

// IsPaced reports whether the client waits for its turn after much work that led to no attempt.
func (c Client) IsPaced(now time.Time) bool { return c.turn.remaining(now) > 0 || c.input.isPaced(now) }

// HasOnlyPart reports whether the client has sent a message in part, and no whole one waits.
func (c Client) HasOnlyPart() bool { return c.input.hasOnlyPart() }

// ChargeAnswer counts an answer that was given without a member, to a query of so many bytes.
func (c Client) ChargeAnswer(queryBytes int) {
	c.turn.charge(answerWork + workOfBytes(queryBytes, answeredKiBWork))
}

// RecordAttempt records that there was an attempt for the client.
func (c Client) RecordAttempt() {
	now := time.Now()
	c.turn.allowance.servedAt = now
	c.input.recordAttempt(now)
}

// ChargeUnattemptedRPC counts an RPC that was answered without an attempt.
func (c Client) ChargeUnattemptedRPC() { c.turn.charge(unattemptedRPCWork) }

// awaitTurn waits until the session may take a further message, or the connection closes. While draining there is
// only one more to come.
func (c Client) awaitTurn() {
	wait := c.turn.remaining(time.Now())
	if wait <= 0 || c.input.shared.draining.Load() {
		return
	}
	c.ReleaseWriteBuffer() // very many may wait
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.Context().Done():
	case <-c.input.shared.drained:
	}
}

// nextEntry waits for the next entry of the input.
func (c Client) nextEntry() (inputEntry, transport.CloseReason) {
	if !c.input.isInstalled {
		c.input.isInstalled = true
		c.SetInputHandler(c.input)
		c.input.allowWaiting()
	}
	for {
		if entry, ok := c.input.take(); ok {
			return entry, entry.end
		}
		reason := c.AwaitInput(c.input.hasEntry)
		switch {
		case reason == transport.ClosedByPeer && c.input.hasPart():
			return inputEntry{}, transport.Truncated
		case reason != transport.Open:
			return inputEntry{}, reason
		}
	}
}

// refuse answers queries that were not taken. While draining they are a connection's last.
func (c Client) refuse(queries int) transport.CloseReason {
	isLast := c.StopBeforeLastAnswer()
	if reason := c.sendRefusals(queries); reason != transport.Open || !isLast {
		return reason
	}
	return c.RefuseRest()
}

// refusalsPerFlush keeps the buffers small of the many clients that may be refused much.
const refusalsPerFlush = 32

// sendRefusals answers queries, one after another, with an error that says that trying again is harmless.
func (c Client) sendRefusals(queries int) transport.CloseReason {
	refusal := Pushback(0)
	if c.input.shared.draining.Load() {
		refusal.SQLState = StateCannotConnectNow
	}
	answer := refusal.encode() + encodeMessage(kindReady, "I")
	for n := range queries {
		c.Write(answer)
		if n%refusalsPerFlush == refusalsPerFlush-1 {
			c.Flush()
		}
	}
	return c.Flush()
}

// StopBeforeLastAnswer stops reading if the answer about to be sent is that to the last query which is
// processed on this connection, because this process drains, and reports whether it is. RefuseRest comes
// behind that answer.
func (c Client) StopBeforeLastAnswer() bool {
	if !c.input.shared.draining.Load() || c.Buffered() > 0 || c.input.hasQuery() {
		return false
	}
	c.StopReading(transport.ShutDown)
	return true
}

// RefuseRest refuses what was received behind the last query, also in part, and returns ShutDown. What comes
// later is not read, so that its client asks again on another connection.
func (c Client) RefuseRest() transport.CloseReason {
	if reason := c.sendRefusals(c.input.takeUnanswered()); reason != transport.Open {
		return reason
	}
	if c.input.hasPart() {
		return c.sendFatal(StateCannotConnectNow, "the driver ends, trying again is harmless", transport.ShutDown)
	}
	return transport.ShutDown
}

// rejectExtended answers an extended query with an error and skips the rest of its messages.
func (c Client) rejectExtended(kind byte) transport.CloseReason {
	writeFailure(c.Conn, Failure{SQLState: StateNotSupported, Message: "only simple queries are taken"})
	for kind != kindSync && kind != kindFunctionCall {
		entry, reason := c.nextEntry()
		switch {
		case reason != transport.Open:
			return reason
		case entry.refused > 0: // a query among them is skipped, refused or not
			continue
		}
		kind = entry.kind
	}
	return c.sendReady()
}

// sendReady sends ReadyForQuery.
func (c Client) sendReady() transport.CloseReason {
	writeMessage(c.Conn, kindReady, "I")
	return c.Flush()
}

// sendFatal reports a protocol error before the caller closes the connection. It waits for the session's turn, so
// that a client which comes again as soon as it is turned away takes no more than others, but not for long: the error
// is owed in time, and may be that of a message that stood still for a while.
func (c Client) sendFatal(state, text string, reason transport.CloseReason) transport.CloseReason {
	c.turn.charge(connectionWork)
	latest := c.turn.pacer.elapsed(time.Now()) + maxErrorWait
	c.turn.goesOnAt.Store(min(c.turn.goesOnAt.Load(), int64(latest)))
	c.awaitTurn()
	writeFailure(c.Conn, Failure{IsFatal: true, SQLState: state, Message: text})
	c.Flush()
	return reason
}

// SendEmpty answers a query that contains no statement.
func (c Client) SendEmpty() transport.CloseReason {
	writeMessage(c.Conn, kindEmptyQuery)
	return c.sendReady()
}

// Forward sends a member's answer to the client unchanged.
func (c Client) Forward(answer *Answer) transport.CloseReason {
	for _, msg := range answer.messages {
		c.Write(msg.raw)
	}
	return c.sendReady()
}

// SendFailure answers a query with an ErrorResponse.
func (c Client) SendFailure(f Failure) transport.CloseReason {
	writeFailure(c.Conn, f)
	return c.sendReady()
}
