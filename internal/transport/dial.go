package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// Dial connects to an address until by ends, if that leaves at least spare descriptors free; the connection itself lives as
// long as life.
func Dial(connCtx, dialCtx context.Context, descriptors *Descriptors, reserve int, address string, bufferLimit int) (*Conn, CloseReason) {
	if !descriptors.Acquire(reserve) {
		return nil, NoDescriptor
	}
	var dialer net.Dialer
	netConn, err := dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		descriptors.Release()
		return nil, dialFailureReason(dialCtx, err)
	}
	return NewConn(connCtx, netConn, bufferLimit, descriptors.Release), Open
}

// Listener accepts connections within the descriptors allowed.
type Listener struct {
	netListener net.Listener
	descriptors *Descriptors
	bufferLimit int
}

// Listen opens a listener.
func Listen(address string, descriptors *Descriptors, bufferLimit int) (*Listener, error) {
	netListener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{netListener: netListener, descriptors: descriptors, bufferLimit: bufferLimit}, nil
}

const acceptRetryDelay = 10 * time.Millisecond // after an accept that failed, or while no descriptor is free

// Accept waits for a connection, and calls short when no more than spare descriptors are free. One that would take
// the last quarter of these waits, since what its client sent can't be given back, and calls short as a must.
func (l *Listener) Accept(connCtx context.Context, reserve int, onShortage func(must bool)) (*Conn, error) {
	for {
		netConn, err := l.netListener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			onShortage(true)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if l.descriptors.Free() <= reserve {
			onShortage(false)
		}
		for !l.descriptors.Acquire(reserve / 4) {
			if connCtx.Err() != nil {
				netConn.Close()
				return nil, connCtx.Err()
			}
			onShortage(true)
			time.Sleep(acceptRetryDelay)
		}
		return NewConn(connCtx, netConn, l.bufferLimit, l.descriptors.Release), nil
	}
}

// Close ends the listener.
func (l *Listener) Close() { l.netListener.Close() }

// Addr is where clients connect.
func (l *Listener) Addr() string { return l.netListener.Addr().String() }
