package rig2

import (
	"net"
)

// Method is a method of a deployment, in the words of the settings. Times are microseconds.
type Method struct {
	Name, Effect, Scope, Read  string
	Aim, Deadline, Window, Age int64
	Worth, LateWorth           float64
}

// Site is what the settings of a deployment say.
type Site struct {
	Methods                                 []Method
	Guards, Tokens, Discovery               string
	DrainGrace, AskEvery, Warm, Tip         int64
	StartCapacity, FallMultiple             float64
	Tries, Drivers                          int
	Duplicates, Peers, SoftRemoval, Retries bool
}

// Padana are the settings of padana-gioco for a number of drivers.
func Padana(drivers int) Site {
	return Site{Methods: []Method{
		{Name: "lobby-read", Effect: "repeatable", Scope: "all", Read: "recent", Aim: 500_000, Deadline: 2_000_000, Window: 5_000_000, Age: 500_000, Worth: 3, LateWorth: 0.2},
		{Name: "own-read", Effect: "repeatable", Scope: "all", Read: "own_writes", Aim: 750_000, Deadline: 2_000_000, Window: 5_000_000, Worth: 1},
		{Name: "archive-read", Effect: "repeatable", Scope: "all", Read: "loose", Aim: 400_000, Deadline: 1_500_000, Window: 5_000_000, Worth: 1, LateWorth: 0.2},
		{Name: "move-write", Effect: "once", Scope: "all", Read: "update", Aim: 600_000, Deadline: 2_000_000, Window: 5_000_000, Worth: 6, LateWorth: 0.7},
	}, Guards: "hold", Tokens: "client", Discovery: "subscribe", DrainGrace: 2_000_000, AskEvery: 10_000_000, Warm: 17_000_000, Tip: 2_000_000,
		StartCapacity: 0.15, FallMultiple: 2, Tries: 10, Drivers: drivers, Peers: true}
}

// Settings returns the settings in the form of the configuration file.
func (s Site) Settings() map[string]any {
	var classes, levels, ages []any
	for _, m := range s.Methods {
		classes = append(classes, map[string]any{"name": m.Name, "effect": m.Effect, "keyScope": m.Scope, "aimUs": m.Aim, "giveUpUs": m.Deadline,
			"windowUs": m.Window, "worth": m.Worth, "lateWorth": m.LateWorth, "stream": false})
		levels, ages = append(levels, m.Read), append(ages, m.Age)
	}
	safety := map[string]any{"answerSlackUs": 20_000, "drainGraceUs": s.DrainGrace, "startCapacity": s.StartCapacity, "warmAfterUs": s.Warm,
		"fallMultiple": s.FallMultiple, "tipAfterUs": s.Tip}
	if s.AskEvery > 0 {
		safety["askEveryUs"] = s.AskEvery
	}
	if s.SoftRemoval {
		safety["softRemoval"] = true
	}
	return map[string]any{
		"classes": classes,
		"extra": map[string]any{"readLevel": levels, "maxAgeUs": ages, "guards": s.Guards, "tokens": s.Tokens, "positions": true,
			"commitWaits": false, "holdsForUs": 100_000, "roleListed": "none"},
		"limits": map[string]any{"probing": true, "peerMessages": s.Peers, "cancelling": true, "mayDuplicate": s.Duplicates, "mostTries": s.Tries,
			"connectTimeoutUs": 250_000, "keepaliveUs": 30_000_000, "retryAfter": s.Retries, "maxRetryAfterUs": 500_000, "openCap": 30_000,
			"multiplex": 1},
		"loadInfo":  map[string]any{"how": "probe", "fields": []any{"x0", "x1", "util", "queue"}},
		"safety":    safety,
		"discovery": s.Discovery, "fleetSize": s.Drivers, "ordinal": 0, "weightKind": "none", "workload": "replicas",
	}
}

// Config returns the configuration of a driver. peerListen and peersAll may be empty.
func (s Site) Config(name string, seed string, known List, peerListen, peersAll string) map[string]any {
	known.Reset = true
	config := map[string]any{"name": name, "seed": seed, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": known, "settings": s.Settings()}
	if peerListen != "" {
		config["peer_listen"], config["peers_all"] = peerListen, peersAll
	}
	return config
}

// Peers passes each datagram that comes to All on to every driver but its sender.
type Peers struct {
	All     string
	Listens []string
}

// NewPeers starts the paths between a number of drivers.
func NewPeers(drivers int) (*Peers, error) {
	all, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &Peers{All: all.LocalAddr().String()}
	for range drivers {
		probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)})
		if err != nil {
			return nil, err
		}
		p.Listens = append(p.Listens, probe.LocalAddr().String())
		defer probe.Close()
	}
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, from, err := all.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			for _, listen := range p.Listens {
				if to, err := net.ResolveUDPAddr("udp4", listen); err == nil && listen != from.String() {
					all.WriteToUDP(buffer[:n], to)
				}
			}
		}
	}()
	return p, nil
}
