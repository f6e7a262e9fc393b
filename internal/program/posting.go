package program

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"sedgespread/internal/briefing"
	"sedgespread/internal/operator"
	"sedgespread/internal/protocol"
)

// Config is where a driver is to work, and what it is told before it starts.
type Config struct {
	Name, Listen, Discovery string
	PeerListen, PeersAll    string // empty where drivers send one another nothing
	Seed                    int64
	Cores                   float64
	MemoryMB, Sockets       int64
	Known                   protocol.Targets
	Deployment              *briefing.Parts
	ConnectWithin           time.Duration
	IdleFor                 time.Duration    // a connection to a member may be idle so long
	WatchFor                time.Duration    // a watch waits for news so long
	AnswerWithin            time.Duration    // discovery may take so long for an answer
	Orders                  *operator.Orders // nil without an operator's file
	path, ordersPath        string
}

const (
	longestWatch = time.Minute
	usualWatch   = 20 * time.Second
	usualConnect = 250 * time.Millisecond
	usualIdle    = 30 * time.Second
	mostPosting  = 4 << 20
)

// ReadConfig reads the environment and the file that it names.
func ReadConfig(env func(string) string) (*Config, error) {
	for _, name := range []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"} {
		if env(name) == "" {
			return nil, fmt.Errorf("%s is missing from the environment", name)
		}
	}
	p, err := readFile(env("GW_CONFIG"))
	if err != nil {
		return nil, err
	}
	p.Name, p.Listen, p.Discovery = env("GW_NAME"), env("GW_LISTEN"), env("GW_DISCOVERY")
	if _, _, err := net.SplitHostPort(p.Discovery); err != nil {
		return nil, fmt.Errorf("GW_DISCOVERY: %w", err)
	}
	if p.ordersPath = env("GW_OPERATOR"); p.ordersPath != "" {
		p.Orders, err = operator.Read(p.ordersPath)
	}
	return p, err
}

// Again reads the file once more. What it does not say stays; the environment counts at the start alone.
func (p *Config) Again() (*Config, error) {
	next, err := readFile(p.path)
	if err != nil {
		return nil, err
	}
	next.Name = cmp.Or(next.Name, p.Name)
	next.Listen = cmp.Or(next.Listen, p.Listen)
	next.Discovery = cmp.Or(next.Discovery, p.Discovery)
	return next, nil
}

func readFile(path string) (*Config, error) {
	text, err := readBounded(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	p, err := parsePosting(text)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	p.path = path
	return p, nil
}

// readBounded reads a file that is not too long, and of one that is no more than that.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, mostPosting+1))
	if err == nil && len(text) > mostPosting {
		err = errors.New("the file is too long")
	}
	return text, err
}

func parsePosting(text []byte) (*Config, error) {
	var file struct {
		Known    json.RawMessage `json:"known"`
		Settings map[string]any  `json:"settings"`
		Rest     map[string]any  `json:"-"`
	}
	if err := decode(text, &file); err != nil {
		return nil, err
	}
	if err := decode(text, &file.Rest); err != nil {
		return nil, err
	}
	if file.Settings == nil {
		return nil, fmt.Errorf("settings is missing")
	}
	delete(file.Rest, "known")
	delete(file.Rest, "settings")
	rest := briefing.Flatten("file", file.Rest)
	p := &Config{Name: rest.At("name"), Listen: rest.At("listen"), Discovery: rest.At("discovery"),
		PeerListen: rest.At("peer_listen"), PeersAll: rest.At("peers_all"), Cores: rest.NumberOr("limits.cores", 1), MemoryMB: rest.Integer("limits.memory_mb"),
		Sockets: rest.Integer("limits.sockets"), Deployment: briefing.Flatten("settings", file.Settings)}
	seed, err := strconv.ParseUint(rest.Text("seed"), 16, 64)
	switch {
	case rest.Err != nil:
		return nil, rest.Err
	case err != nil:
		return nil, fmt.Errorf("seed=%q is not a hexadecimal number", rest.At("seed"))
	case p.Cores <= 0 || p.MemoryMB < 16 || p.Sockets < 64:
		return nil, fmt.Errorf("limits: cores, memory_mb or sockets is too small to work with")
	}
	p.Seed = int64(seed)
	if _, _, err := net.SplitHostPort(p.Discovery); p.Discovery != "" && err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if len(file.Known) > 0 {
		if p.Known, err = protocol.ParseTargets(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	p.Known.IsFull = true
	return p, p.spans()
}

// spans reads how long the network may take.
func (p *Config) spans() error {
	span := func(name string, usual time.Duration) time.Duration {
		if t := p.Deployment.Time(name); t > 0 {
			return time.Duration(t)
		}
		return usual
	}
	p.ConnectWithin = span("limits.connectTimeoutUs", usualConnect)
	p.IdleFor = span("limits.keepaliveUs", usualIdle)
	p.WatchFor = min(longestWatch, span("safety.askEveryUs", usualWatch))
	p.AnswerWithin = answerWithin
	if notice := p.Deployment.Notice(); !notice.Asked {
		p.AnswerWithin = min(answerWithin, max(leastAnswer, time.Duration(notice.Grace/4)))
	}
	if !p.Deployment.BoolOr("limits.peerMessages", false) {
		p.PeersAll = ""
	}
	return p.Deployment.Err
}

func decode(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errors.New("something follows the object")
	}
	return nil
}
