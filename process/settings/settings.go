package settings

import (
	"net/netip"

	"github.com/stoatmount/stoatmount/version/config"
)

// Settings are the static settings of one router process.
type Settings struct {
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Access   Access   `toml:"access"`
	TLS      TLS      `toml:"tls"`
	Limits   Limits   `toml:"limits"`
	Member   Member   `toml:"member"`
	Log      Log      `toml:"log"`
}

// Host says where the process runs.
type Host struct {
	// Name is the host's name in the platform's list.
	Name   string `toml:"name"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Listen holds the addresses that the process listens on: IP number and port.
type Listen struct {
	Caller   netip.AddrPort `toml:"caller"`
	Peer     netip.AddrPort `toml:"peer"`
	Operator netip.AddrPort `toml:"operator"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log     netip.AddrPort `toml:"log"`
	Hosts   netip.AddrPort `toml:"hosts"`
	Weights netip.AddrPort `toml:"weights"`
	// TLS says that the platform's services are reached over TLS.
	TLS bool `toml:"tls"`
}

// Access says who may come in.
type Access struct {
	// OperatorKeyHash is the SHA-256 of the operators' key in hexadecimal.
	OperatorKeyHash string `toml:"operator_key_hash"`
	// PlaceKeyFile holds the key that signs place tokens, at least 32 bytes.
	// All routers must have the same. Place tokens are not used without it.
	PlaceKeyFile string `toml:"place_key_file"`
	// OpenOnLoopback lets callers and operators in without keys, on loopback
	// addresses only. It is meant for demonstrations.
	OpenOnLoopback bool `toml:"open_on_loopback"`
}

// TLS names certificate files in PEM. Empty names switch TLS off for the
// listener.
type TLS struct {
	// PeerCert, PeerKey and PeerCA are used on both sides between routers.
	PeerCert string `toml:"peer_cert"`
	PeerKey  string `toml:"peer_key"`
	PeerCA   string `toml:"peer_ca"`
	// CallerCert and CallerKey are shown to callers.
	CallerCert string `toml:"caller_cert"`
	CallerKey  string `toml:"caller_key"`
	// OperatorCert and OperatorKey are shown to operators.
	OperatorCert string `toml:"operator_cert"`
	OperatorKey  string `toml:"operator_key"`
}

// Limits bounds what callers may use of this process.
type Limits struct {
	BodyBytes   int64           `toml:"body_bytes"`
	HeaderBytes int             `toml:"header_bytes"`
	BodyTime    config.Duration `toml:"body_time"`
	Connections int             `toml:"connections"`
	Workers     int             `toml:"workers"`
	// Drain is how long a process that shuts down goes on taking requests of
	// callers that still hold its address.
	Drain config.Duration `toml:"drain"`
}

// Member holds the timing of membership.
type Member struct {
	Tick      config.Duration `toml:"tick"`       // between gossip messages
	DeadAfter config.Duration `toml:"dead_after"` // silence after which a member is dead
	Promise   config.Duration `toml:"promise"`    // how long a router stays on a view after saying so
	Fresh     config.Duration `toml:"fresh"`      // how long a configuration may go unconfirmed
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"` // "error", "info" or "debug"
}
