package relays

import (
	"net"
	"net/netip"
	"time"

	"sedgespread/internal/emulator/links"
)

// mostDatagram is more than any that drivers send.
const mostDatagram = 64 << 10

// overtaken is by how much a datagram that is shuffled comes later.
const overtaken = 5 * time.Millisecond

// RelayUDP gives the address at which one process's datagrams to another are taken on their way to where that hears them.
func (n *Network) RelayUDP(way links.Link, target string) (address string, err error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return "", err
	}
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	n.keep(s)
	n.tasks.Go(func() error {
		buffer := make([]byte, mostDatagram)
		for {
			got, _, err := s.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return nil
			}
			n.datagram(s, way, to, append([]byte(nil), buffer[:got]...))
		}
	})
	return s.LocalAddr().String(), nil
}

// datagram passes one on, or loses it, or more.
func (n *Network) datagram(s *net.UDPConn, way links.Link, to netip.AddrPort, bytes []byte) {
	state, _ := n.of(way)
	n.count(func(c *Counts) { c.Datagrams++; c.DatagramBytes += int64(len(bytes)) })
	if state.Silent || state.Cut || n.chance(state.Lost) {
		n.count(func(c *Counts) { c.Lost++ })
		return
	}
	copies := 1
	if n.chance(state.Duplicated) {
		copies = 2
		n.count(func(c *Counts) { c.Duplicated++ })
	}
	for range copies {
		wait := time.Until(n.later(state))
		if n.chance(state.Reordered) {
			wait += overtaken
			n.count(func(c *Counts) { c.Reordered++ })
		}
		if wait <= 0 {
			s.WriteToUDPAddrPort(bytes, to)
			continue
		}
		time.AfterFunc(wait, func() { s.WriteToUDPAddrPort(bytes, to) })
	}
}
