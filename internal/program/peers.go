package program

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
)

// peers exchanges datagrams with the other drivers.
type peers struct {
	socket      *net.UDPConn
	destination netip.AddrPort
	log         logrus.FieldLogger
	dropped     atomic.Int64
}

// newPeers opens the datagram socket, unless peer messages are disabled.
func newPeers(listen, peersAddress string, log logrus.FieldLogger) (*peers, error) {
	if listen == "" || peersAddress == "" {
		return &peers{}, nil
	}
	destination, err := netip.ParseAddrPort(peersAddress)
	if err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	local, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &peers{socket: socket, destination: destination, log: log}, nil
}

// send sends a message to all peers. Errors are ignored, since datagrams may be lost anyway.
func (p *peers) send(message []byte) {
	if p.socket != nil {
		p.socket.WriteToUDPAddrPort(message, p.destination)
	}
}

// receive reports messages from peers to the router and calls onMessage for each valid one, until
// the socket is closed.
func (p *peers) receive(router *routing.Router, onMessage func()) {
	if p.socket == nil {
		return
	}
	buffer := make([]byte, protocol.MaxMessageBytes+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if !router.ReceiveObservations(buffer[:n]) {
			p.log.WithField("from", from).WithField("dropped", p.dropped.Add(1)).
				Warn("dropped a datagram that is not a valid peer message")
			continue
		}
		onMessage()
	}
}

func (p *peers) close() {
	if p.socket != nil {
		p.socket.Close()
	}
}
