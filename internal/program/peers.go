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

// peers are the fellow drivers, reached by datagrams.
type peers struct {
	socket      *net.UDPConn
	destination netip.AddrPort
	log         logrus.FieldLogger
	dropped     atomic.Int64
}

// newPeers opens the datagram socket, where drivers may send one another something.
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

// send sends a message to all fellow drivers. One that can't be sent is lost, as it might be on its way.
func (p *peers) send(message []byte) {
	if p.socket != nil {
		p.socket.WriteToUDPAddrPort(message, p.destination)
	}
}

// receive reports what fellow drivers send, and tells so, until the socket is closed.
func (p *peers) receive(r *routing.Router, onMessage func()) {
	if p.socket == nil {
		return
	}
	buffer := make([]byte, protocol.MaxMessageBytes+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if !r.ReportNews(buffer[:n]) {
			p.log.WithField("from", from).WithField("dropped", p.dropped.Add(1)).Warn("datagram is not a driver's")
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
