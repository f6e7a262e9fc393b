package relays

import (
	"net"
	"net/netip"
	"time"

	"sedgespread/internal/emulator/links"
)

// maxDatagramBytes is larger than any datagram that drivers send.
const maxDatagramBytes = 64 << 10

// reorderDelay is the extra delay of a reordered datagram.
const reorderDelay = 5 * time.Millisecond

// RelayUDP starts a relay for the datagrams of a link and returns the address to send them to.
func (n *Network) RelayUDP(link links.Link, target string) (address string, err error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return "", err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	n.addListener(socket)
	n.tasks.Go(func() error {
		buffer := make([]byte, maxDatagramBytes)
		for {
			size, _, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return nil
			}
			n.relayDatagram(socket, link, to, append([]byte(nil), buffer[:size]...))
		}
	})
	return socket.LocalAddr().String(), nil
}

// relayDatagram forwards a datagram according to the state of the link.
func (n *Network) relayDatagram(socket *net.UDPConn, link links.Link, to netip.AddrPort, payload []byte) {
	state, _ := n.linkState(link)
	n.updateCounts(func(c *Counts) { c.Datagrams++; c.DatagramBytes += int64(len(payload)) })
	if state.Silent || state.Cut || n.happens(state.Lost) {
		n.updateCounts(func(c *Counts) { c.Lost++ })
		return
	}
	copies := 1
	if n.happens(state.Duplicated) {
		copies = 2
		n.updateCounts(func(c *Counts) { c.Duplicated++ })
	}
	for range copies {
		delay := time.Until(n.arrivalTime(state))
		if n.happens(state.Reordered) {
			delay += reorderDelay
			n.updateCounts(func(c *Counts) { c.Reordered++ })
		}
		if delay <= 0 {
			socket.WriteToUDPAddrPort(payload, to)
			continue
		}
		time.AfterFunc(delay, func() { socket.WriteToUDPAddrPort(payload, to) })
	}
}
