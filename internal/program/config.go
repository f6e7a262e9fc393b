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

	"sedgespread/internal/operator"
	"sedgespread/internal/protocol"
	"sedgespread/internal/settings"
)

// Config is the configuration of a driver, read from the environment and the configuration file.
type Config struct {
	Name, Listen, Discovery  string
	PeerListen, PeersAddress string // empty if peer messages are disabled
	Seed                     int64
	Cores                    float64
	MemoryMB, Sockets        int64
	KnownTargets             protocol.Targets
	Settings                 *settings.Fields
	ConnectTimeout           time.Duration
	IdleTimeout              time.Duration    // of connections to members
	WatchTimeout             time.Duration    // wait time of a discovery watch
	DiscoveryTimeout         time.Duration    // of discovery calls that do not wait for changes
	OperatorConfig           *operator.Config // nil without an operator file
	path, operatorPath       string
}

const (
	maxWatchTimeout       = time.Minute
	defaultWatchTimeout   = 20 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = 30 * time.Second
	maxConfigBytes        = 4 << 20
	minMemoryMB           = 16
	minSockets            = 64
)

// ReadConfig reads the environment and the files that it names.
func ReadConfig(env func(string) string) (*Config, error) {
	for _, name := range []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"} {
		if env(name) == "" {
			return nil, fmt.Errorf("%s is missing from the environment", name)
		}
	}
	config, err := readConfigFile(env("GW_CONFIG"))
	if err != nil {
		return nil, err
	}
	config.Name, config.Listen, config.Discovery = env("GW_NAME"), env("GW_LISTEN"), env("GW_DISCOVERY")
	if _, _, err := net.SplitHostPort(config.Discovery); err != nil {
		return nil, fmt.Errorf("GW_DISCOVERY: %w", err)
	}
	if config.operatorPath = env("GW_OPERATOR"); config.operatorPath != "" {
		config.OperatorConfig, err = operator.Read(config.operatorPath)
	}
	return config, err
}

// Reload reads the configuration file again. Fields that it omits keep their values; the
// environment is not consulted again.
func (c *Config) Reload() (*Config, error) {
	next, err := readConfigFile(c.path)
	if err != nil {
		return nil, err
	}
	next.Name = cmp.Or(next.Name, c.Name)
	next.Listen = cmp.Or(next.Listen, c.Listen)
	next.Discovery = cmp.Or(next.Discovery, c.Discovery)
	return next, nil
}

func readConfigFile(path string) (*Config, error) {
	text, err := readBounded(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	config, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	config.path = path
	return config, nil
}

// readBounded reads a file of at most maxConfigBytes.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxConfigBytes+1))
	if err == nil && len(text) > maxConfigBytes {
		err = errors.New("file is too long")
	}
	return text, err
}

func parseConfig(text []byte) (*Config, error) {
	var file struct {
		Known    json.RawMessage `json:"known"`
		Settings map[string]any  `json:"settings"`
		Rest     map[string]any  `json:"-"`
	}
	if err := decodeJSON(text, &file); err != nil {
		return nil, err
	}
	if err := decodeJSON(text, &file.Rest); err != nil {
		return nil, err
	}
	if file.Settings == nil {
		return nil, fmt.Errorf("settings is missing")
	}
	delete(file.Rest, "known")
	delete(file.Rest, "settings")
	fields := settings.Flatten("file", file.Rest)
	config := &Config{Name: fields.Value("name"), Listen: fields.Value("listen"), Discovery: fields.Value("discovery"),
		PeerListen: fields.Value("peer_listen"), PeersAddress: fields.Value("peers_all"),
		Cores: fields.NumberOr("limits.cores", 1), MemoryMB: fields.RequiredInteger("limits.memory_mb"),
		Sockets: fields.RequiredInteger("limits.sockets"), Settings: settings.Flatten("settings", file.Settings)}
	seed, err := strconv.ParseUint(fields.RequiredString("seed"), 16, 64)
	switch {
	case fields.Err != nil:
		return nil, fields.Err
	case err != nil:
		return nil, fmt.Errorf("seed=%q is not a hexadecimal number", fields.Value("seed"))
	case config.Cores <= 0 || config.MemoryMB < minMemoryMB || config.Sockets < minSockets:
		return nil, fmt.Errorf("limits: cores, memory_mb or sockets is too small")
	}
	config.Seed = int64(seed)
	if _, _, err := net.SplitHostPort(config.Discovery); config.Discovery != "" && err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if len(file.Known) > 0 {
		if config.KnownTargets, err = protocol.ParseTargets(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	config.KnownTargets.IsFull = true
	return config, config.readTimeouts()
}

// readTimeouts derives the network timeouts from the settings.
func (c *Config) readTimeouts() error {
	duration := func(name string, fallback time.Duration) time.Duration {
		if value := c.Settings.MicrosOrZero(name); value > 0 {
			return time.Duration(value)
		}
		return fallback
	}
	c.ConnectTimeout = duration("limits.connectTimeoutUs", defaultConnectTimeout)
	c.IdleTimeout = duration("limits.keepaliveUs", defaultIdleTimeout)
	c.WatchTimeout = min(maxWatchTimeout, duration("safety.askEveryUs", defaultWatchTimeout))
	c.DiscoveryTimeout = discoveryCallTimeout
	if discovery := c.Settings.Discovery(); !discovery.OnRequest {
		c.DiscoveryTimeout = min(discoveryCallTimeout, max(minDiscoveryTimeout, time.Duration(discovery.DrainGrace/4)))
	}
	if !c.Settings.BoolOr("limits.peerMessages", false) {
		c.PeersAddress = ""
	}
	return c.Settings.Err
}

func decodeJSON(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("unexpected data after the JSON object")
	}
	return nil
}
