package transport

import (
	"context"
	"net"
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
	return newConn(life, nc, bound, d.Give), Open
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

// Accept waits for a connection, and calls full when taking it would leave fewer than spare descriptors free; it
// is closed at once where that does not help.
func (l *Listener) Accept(life context.Context, spare int, full func()) (*Conn, error) {
	for {
		nc, err := l.nl.Accept()
		if err != nil {
			return nil, err
		}
		if !l.d.Take(spare) {
			full()
			if !l.d.Take(spare) {
				nc.Close()
				continue
			}
		}
		return newConn(life, nc, l.bound, l.d.Give), nil
	}
}

// Address is where the listener listens.
func (l *Listener) Address() string { return l.nl.Addr().String() }

// Close ends the listener.
func (l *Listener) Close() { l.nl.Close() }
