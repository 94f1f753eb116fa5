package settings

import (
	"net/netip"

	"github.com/stoatmount/stoatmount/version/config"
)

// Settings holds the static settings of one router process.
type Settings struct {
	Host     Host       `toml:"host"`
	Listen   Listen     `toml:"listen"`
	Platform Platform   `toml:"platform"`
	Access   Access     `toml:"access"`
	TLS      TLS        `toml:"tls"`
	Limits   Limits     `toml:"limits"`
	Member   Membership `toml:"member"`
	Log      Log        `toml:"log"`
}

// Host identifies the host that the process runs on.
type Host struct {
	// Name is the host's name in the platform's list.
	Name   string `toml:"name"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Listen holds the addresses that the process listens on: IP address and port.
type Listen struct {
	Caller   netip.AddrPort `toml:"caller"`
	Peer     netip.AddrPort `toml:"peer"`
	Operator netip.AddrPort `toml:"operator"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log     netip.AddrPort `toml:"log"`     // log service, not the process's log output
	Hosts   netip.AddrPort `toml:"hosts"`   // host list
	Weights netip.AddrPort `toml:"weights"` // weight store
	// TLS enables TLS for connections to the platform's services.
	TLS bool `toml:"tls"`
}

// Access configures the authentication of operators and callers.
type Access struct {
	// OperatorKeyHash is the SHA-256 of the operators' key in hexadecimal.
	OperatorKeyHash string `toml:"operator_key_hash"`
	// PlaceKeyFile is the file with the key that signs place tokens, at least 32
	// bytes. All routers must have the same key. Without it, place tokens, which
	// tell where the prefix of a chat is cached, are not used.
	PlaceKeyFile string `toml:"place_key_file"`
	// OpenOnLoopback accepts callers and operators without keys. It requires
	// loopback addresses and is meant for demonstrations.
	OpenOnLoopback bool `toml:"open_on_loopback"`
}

// TLS names certificate and key files in PEM. Empty names disable TLS.
type TLS struct {
	// PeerCert, PeerKey and PeerCA are used by both ends of connections of routers.
	PeerCert string `toml:"peer_cert"`
	PeerKey  string `toml:"peer_key"`
	PeerCA   string `toml:"peer_ca"`
	// CallerCert and CallerKey are presented to callers.
	CallerCert string `toml:"caller_cert"`
	CallerKey  string `toml:"caller_key"`
	// OperatorCert and OperatorKey are presented to operators.
	OperatorCert string `toml:"operator_cert"`
	OperatorKey  string `toml:"operator_key"`
}

// Limits holds the limits of one router, and how long it drains.
type Limits struct {
	BodyBytes   int64           `toml:"body_bytes"`   // of one request
	HeaderBytes int             `toml:"header_bytes"` // of one request
	BodyTime    config.Duration `toml:"body_time"`    // timeout for reading the body of a request
	Connections int             `toml:"connections"`  // of callers at once
	Workers     int             `toml:"workers"`      // goroutines that run background tasks
	// Drain is how long a process that shuts down still accepts requests, from
	// callers that have its address cached.
	Drain config.Duration `toml:"drain"`
}

// Membership holds the timing of membership.
type Membership struct {
	Tick      config.Duration `toml:"tick"`       // interval of gossip messages
	DeadAfter config.Duration `toml:"dead_after"` // time without gossip after which a member is considered dead
	Promise   config.Duration `toml:"promise"`    // how long a router keeps to a view that it has announced
	Fresh     config.Duration `toml:"fresh"`      // how long the configuration stays usable without confirmation
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"` // "error", "info" or "debug"
}
