package program

import (
	"os"
	"slices"
	"strings"

	"sedgespread/internal/settings"
)

// reloadOnSignal reloads the configuration on each signal, until the driver's lifetime ends.
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

// reload reads the configuration file again, applies the fields that can change at run time, and
// returns the configuration that is now in effect. An invalid file changes nothing.
func (p *Program) reload(config *Config) *Config {
	next, err := config.Reload()
	if err == nil && p.operatorServices != nil {
		err = p.operatorServices.reload(p.config.operatorPath)
	}
	if err != nil {
		p.log.WithError(err).Warn("reload failed; the old configuration stays in effect")
		return config
	}
	next.ApplyLimits()
	p.descriptors.Resize(int(next.Sockets))
	p.inputs.SetLimit(next.inputBytes())
	p.inputs.SetProcessors(next.Cores)
	p.pools.answers.SetLimits(next.answerBytes())
	if p.discovery.setAddress(next.Discovery) {
		p.tasks.Go(func() error { p.followDiscovery(p.lifetime); return nil })
	}
	p.log.WithField("discovery", next.Discovery).WithField("memory_mb", next.MemoryMB).WithField("sockets", next.Sockets).
		WithField("needs_restart", strings.Join(config.changedFixedFields(next), ",")).Info("reloaded")
	return next
}

// changedFixedFields returns the names of the fields that differ and need a restart to take effect.
func (c *Config) changedFixedFields(other *Config) (names []string) {
	for name, isSame := range map[string]bool{
		"name":        other.Name == c.Name,
		"listen":      other.Listen == c.Listen,
		"peer_listen": other.PeerListen == c.PeerListen,
		"peers_all":   other.PeersAddress == c.PeersAddress,
		"settings":    settings.Equal(c.Settings, other.Settings),
	} {
		if !isSame {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
