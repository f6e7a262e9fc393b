package program

import (
	"os"
	"slices"
	"strings"

	"sedgespread/internal/briefing"
)

// reloads reads the posting's file again each time it is told to, until this driver's life ends.
func (p *Program) reloads(told <-chan os.Signal) {
	for held := p.posting; ; {
		select {
		case <-p.life.Done():
			return
		case <-told:
			held = p.reload(held)
		}
	}
}

// reload puts to work what the file says now, as far as that can change while running, and gives what is held from
// here on. A file that can't be read changes nothing.
func (p *Program) reload(held *Config) *Config {
	next, err := held.Again()
	if err == nil && p.confined != nil {
		err = p.confined.reload(p.posting.ordersPath)
	}
	if err != nil {
		p.log.WithError(err).Warn("reload refused")
		return held
	}
	next.ApplyLimits()
	p.descriptors.Resize(int(next.Sockets))
	if p.source.move(next.Discovery) {
		p.tasks.Go(func() error { p.follow(p.life); return nil })
	}
	p.log.WithField("discovery", next.Discovery).WithField("memory_mb", next.MemoryMB).WithField("sockets", next.Sockets).
		WithField("needs_restart", strings.Join(held.fixed(next), ",")).Info("reloaded")
	return next
}

// fixed names what a posting says otherwise than another and what only a start can change.
func (p *Config) fixed(other *Config) (names []string) {
	for name, same := range map[string]bool{
		"name":        other.Name == p.Name,
		"listen":      other.Listen == p.Listen,
		"peer_listen": other.PeerListen == p.PeerListen,
		"peers_all":   other.PeersAll == p.PeersAll,
		"settings":    briefing.Equal(p.Deployment, other.Deployment),
	} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
