package program

import (
	"os"
	"slices"
	"strings"

	"sedgespread/internal/briefing"
)

// reloadOnSignal reads the posting's file again each time it is told to, until this driver's life ends.
func (p *Program) reloadOnSignal(signals <-chan os.Signal) {
	for config := p.config; ; {
		select {
		case <-p.lifetime.Done():
			return
		case <-signals:
			config = p.reload(config)
		}
	}
}

// reload puts to work what the file says now, as far as that can change while running, and gives what is held from
// here on. A file that can't be read changes nothing.
func (p *Program) reload(config *Config) *Config {
	next, err := config.Reload()
	if err == nil && p.operatorServices != nil {
		err = p.operatorServices.reload(p.config.operatorPath)
	}
	if err != nil {
		p.log.WithError(err).Warn("reload refused")
		return config
	}
	next.ApplyLimits()
	p.descriptors.Resize(int(next.Sockets))
	if p.discovery.setAddress(next.Discovery) {
		p.tasks.Go(func() error { p.followDiscovery(p.lifetime); return nil })
	}
	p.log.WithField("discovery", next.Discovery).WithField("memory_mb", next.MemoryMB).WithField("sockets", next.Sockets).
		WithField("needs_restart", strings.Join(config.changedFixedFields(next), ",")).Info("reloaded")
	return next
}

// changedFixedFields names what a posting says otherwise than another and what only a start can change.
func (p *Config) changedFixedFields(other *Config) (names []string) {
	for name, same := range map[string]bool{
		"name":        other.Name == p.Name,
		"listen":      other.Listen == p.Listen,
		"peer_listen": other.PeerListen == p.PeerListen,
		"peers_all":   other.PeersAddress == p.PeersAddress,
		"settings":    briefing.Equal(p.Settings, other.Settings),
	} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
