package rig2

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
)

// maxBody limits a message that a stand-in reads.
const maxBody = 1 << 20

func message(kind byte, body string) string {
	head := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return string(head) + body
}

func readBody(r *bufio.Reader) (string, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return "", err
	}
	n := int(binary.BigEndian.Uint32(head[:])) - 4
	if n < 0 || n > maxBody {
		return "", fmt.Errorf("length %d", n)
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return string(body), err
}

func readMessage(r *bufio.Reader) (kind byte, body string, err error) {
	if kind, err = r.ReadByte(); err != nil {
		return 0, "", err
	}
	body, err = readBody(r)
	return kind, body, err
}

const ready = "Z\x00\x00\x00\x05I"

func row(value, tag string) string {
	size := string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))
	description := "\x00\x01content\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	return message('T', description) + message('D', "\x00\x01"+size+value) + message('C', tag+"\x00")
}

func failure(state, text string) string {
	return message('E', "SERROR\x00VERROR\x00C"+state+"\x00M"+text+"\x00\x00")
}

func parameter(name, value string) string { return message('S', name+"\x00"+value+"\x00") }

// startup is a client's startup message.
func startup() string {
	body := "\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

// acceptStartup answers the startup message of a connection.
func acceptStartup(conn net.Conn, r *bufio.Reader) error {
	if _, err := readBody(r); err != nil {
		return err
	}
	_, err := io.WriteString(conn, message('R', "\x00\x00\x00\x00")+ready)
	return err
}

// Statement is a client's statement as a member got it.
type Statement struct {
	Text   string
	ID     string
	Class  string
	Key    string
	IsRead bool
	Wait   int   // d, in milliseconds
	Group  int64 // cluster
}

var statementForm = regexp.MustCompile(`^(SELECT content FROM kv WHERE name = |INSERT INTO kv \(name, content\) VALUES \()'([^']*)'.* /\* (.*) \*/$`)

// ParseStatement parses a client's statement.
func ParseStatement(text string) (s Statement, ok bool) {
	parts := statementForm.FindStringSubmatch(text)
	if parts == nil {
		return s, false
	}
	s = Statement{Text: text, Key: parts[2], IsRead: strings.HasPrefix(text, "SELECT")}
	for _, pair := range strings.Split(parts[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "id":
			s.ID = value
		case "c":
			s.Class = value
		case "d":
			s.Wait, _ = strconv.Atoi(value)
		case "cluster":
			s.Group, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return s, s.ID != ""
}

// Read returns the text of a read, Write that of a write.
func Read(key, id, class string, wait int, group int64) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,d=%d,cluster=%d */", key, id, class, wait, group)
}

// Write returns the text of a write.
func Write(key, value, id, class string, wait int, group int64) string {
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x%x') RETURNING content /* id=%s,c=%s,d=%d,cluster=%d */", key, value, id, class, wait, group)
}
