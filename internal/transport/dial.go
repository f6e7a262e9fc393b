package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// Dial connects to an address until by ends; the connection itself lives as long as life.
func Dial(life, by context.Context, d *Descriptors, address string, bound int) (*Conn, End) {
	if !d.Take(0) {
		return nil, NoDescriptor
	}
	var dialer net.Dialer
	nc, err := dialer.DialContext(by, "tcp", address)
	if err != nil {
		d.Give()
		return nil, endOfDial(by, err)
	}
	return NewConn(life, nc, bound, d.Give), Open
}

// Listener accepts connections within the descriptors allowed.
type Listener struct {
	nl    net.Listener
	d     *Descriptors
	bound int
}

// Listen opens a listener.
func Listen(address string, d *Descriptors, bound int) (*Listener, error) {
	nl, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{nl: nl, d: d, bound: bound}, nil
}

const (
	keepClear  = 16 // descriptors that are made free before they are needed
	acceptRest = 10 * time.Millisecond
	mostRests  = 30 // for a descriptor to come free
)

// Accept waits for a connection that leaves spare descriptors free, and calls short when these run short. One that
// would leave fewer, however long it waits, is closed.
func (l *Listener) Accept(life context.Context, spare int, short func()) (*Conn, error) {
	for {
		nc, err := l.nl.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			short()
			time.Sleep(acceptRest)
		case l.room(spare, short):
			return NewConn(life, nc, l.bound, l.d.Give), nil
		default:
			nc.Close()
		}
	}
}

// room takes a descriptor, and tells whether one came free in time.
func (l *Listener) room(spare int, short func()) bool {
	if l.d.Free() <= spare+keepClear {
		short()
	}
	for range mostRests {
		if l.d.Take(spare) {
			return true
		}
		short()
		time.Sleep(acceptRest)
	}
	return false
}

// Close ends the listener.
func (l *Listener) Close() { l.nl.Close() }
