package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// Dial connects to an address if at least reserve descriptors stay free. dialCtx bounds the dial,
// connCtx the life of the connection.
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

// Listener accepts connections within the limit on descriptors.
type Listener struct {
	netListener net.Listener
	descriptors *Descriptors
	bufferLimit int
}

// Listen listens on a TCP address.
func Listen(address string, descriptors *Descriptors, bufferLimit int) (*Listener, error) {
	netListener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{netListener: netListener, descriptors: descriptors, bufferLimit: bufferLimit}, nil
}

// acceptedReadAhead is how much is read ahead from a client that may send at full speed before its startup is over.
const acceptedReadAhead = initialRingBytes

// acceptRetryDelay is the pause after a failed accept, or while no descriptor is free.
const acceptRetryDelay = 10 * time.Millisecond

// Accept waits for a connection. It calls onShortage(false) if at most reserve descriptors are free.
// While fewer than a quarter of reserve would stay free, it delays the accepted connection, whose
// input cannot be handed back, and repeatedly calls onShortage(true) to have descriptors released.
func (l *Listener) Accept(connCtx context.Context, reserve int, onShortage func(isUrgent bool)) (*Conn, error) {
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
		return newConn(connCtx, netConn, l.bufferLimit, acceptedReadAhead, l.descriptors.Release), nil
	}
}

// Close closes the listener.
func (l *Listener) Close() { l.netListener.Close() }

// Addr returns the address that clients connect to.
func (l *Listener) Addr() string { return l.netListener.Addr().String() }
