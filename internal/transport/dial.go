package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// Dial connects to an address until by ends, if that leaves at least spare descriptors free; the connection itself lives as
// long as life.
func Dial(life, by context.Context, d *Descriptors, spare int, address string, bound int) (*Conn, CloseReason) {
	if !d.Acquire(spare) {
		return nil, NoDescriptor
	}
	var dialer net.Dialer
	nc, err := dialer.DialContext(by, "tcp", address)
	if err != nil {
		d.Release()
		return nil, endOfDial(by, err)
	}
	return NewConn(life, nc, bound, d.Release), Open
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

const acceptRest = 10 * time.Millisecond // after an accept that failed, or while no descriptor is free

// Accept waits for a connection, and calls short when no more than spare descriptors are free. One that would take
// the last quarter of these waits, since what its client sent can't be given back, and calls short as a must.
func (l *Listener) Accept(life context.Context, spare int, short func(must bool)) (*Conn, error) {
	for {
		nc, err := l.nl.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			short(true)
			time.Sleep(acceptRest)
			continue
		}
		if l.d.Free() <= spare {
			short(false)
		}
		for !l.d.Acquire(spare / 4) {
			if life.Err() != nil {
				nc.Close()
				return nil, life.Err()
			}
			short(true)
			time.Sleep(acceptRest)
		}
		return NewConn(life, nc, l.bound, l.d.Release), nil
	}
}

// Close ends the listener.
func (l *Listener) Close() { l.nl.Close() }

// Addr is where clients connect.
func (l *Listener) Addr() string { return l.nl.Addr().String() }
