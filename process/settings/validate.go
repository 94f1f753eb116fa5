package settings

import (
	"encoding/hex"
	"net/netip"
	"os"
	"slices"

	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// Bounds of the settings.
const (
	// MinPlaceKeyBytes is the minimum length of the file with the key that signs place tokens.
	MinPlaceKeyBytes = 32
	// keyHashBytes is the length of a SHA-256 hash.
	keyHashBytes = 32
)

type checker struct {
	source   *stricttoml.Source
	problems stricttoml.Problems
}

func validate(s Settings, source *stricttoml.Source) stricttoml.Problems {
	c := &checker{source: source}
	c.host(s.Host)
	c.listen(s.Listen)
	c.platform(s.Platform)
	c.conflicts(s)
	c.access(s)
	c.tls(s.TLS)
	c.limits(s.Limits)
	c.member(s.Member)
	c.log(s.Log)
	return c.problems
}

// require adds a problem at key unless ok holds.
func (c *checker) require(ok bool, key, remedy, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, c.source.Problem(key, remedy, format, args...))
	}
}

func (c *checker) host(h Host) {
	c.require(h.Name != "", "host.name", "write the host's name in the platform's list", "is empty")
	c.require(h.Zone != "", "host.zone", "write the host's availability zone", "is empty")
	c.require(h.Region != "", "host.region", "write the region of the host's zone", "is empty")
}

func (c *checker) listen(l Listen) {
	c.address("listen.caller", l.Caller)
	c.address("listen.peer", l.Peer)
	c.address("listen.operator", l.Operator)
}

func (c *checker) platform(p Platform) {
	c.dialAddress("platform.log", p.Log)
	c.dialAddress("platform.hosts", p.Hosts)
	c.dialAddress("platform.weights", p.Weights)
}

func (c *checker) address(key string, address netip.AddrPort) {
	c.require(address.IsValid(), key, `write an IP number and a port, for example "10.0.0.7:8080"`, "is missing")
	if address.IsValid() {
		c.require(!address.Addr().IsMulticast(), key, "write the IP address of one of this host's interfaces", "%v is a multicast address", address)
	}
}

// dialAddress checks an address that the process connects to.
func (c *checker) dialAddress(key string, address netip.AddrPort) {
	c.address(key, address)
	if !address.IsValid() {
		return
	}
	c.require(!address.Addr().IsUnspecified(), key, "write the IP address of the service", "%v is not an address to connect to", address)
	c.require(address.Port() != 0, key, "write the port of the service", "port 0 is not a port to connect to")
}

// namedAddress is an address with its key.
type namedAddress struct {
	key     string
	address netip.AddrPort
}

// conflicts finds listeners that cannot be open at the same time and platform
// services at the router's own address.
func (c *checker) conflicts(s Settings) {
	own := []namedAddress{
		{"listen.caller", s.Listen.Caller},
		{"listen.peer", s.Listen.Peer},
		{"listen.operator", s.Listen.Operator},
	}
	others := []namedAddress{
		{"platform.log", s.Platform.Log},
		{"platform.hosts", s.Platform.Hosts},
		{"platform.weights", s.Platform.Weights},
	}
	for i, a := range own {
		for _, b := range slices.Concat(own[i+1:], others) {
			c.require(!conflict(a.address, b.address), b.key, "give each its own port or IP address", "%v conflicts with %s = %v", b.address, a.key, a.address)
		}
	}
}

// conflict reports whether a and b are the same port of the same or an unspecified
// IP address. Port 0 never is, as the operating system chooses a free port.
func conflict(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	first, second := a.Addr().Unmap(), b.Addr().Unmap()
	return first == second || first.IsUnspecified() || second.IsUnspecified()
}

func (c *checker) access(s Settings) {
	hash := s.Access.OperatorKeyHash
	decoded, err := hex.DecodeString(hash)
	c.require(hash == "" || err == nil && len(decoded) == keyHashBytes, "access.operator_key_hash",
		"write the 64 hexadecimal digits that sha256sum prints for the key", "is not a SHA-256 in hexadecimal")
	if s.Access.OpenOnLoopback {
		c.loopback("listen.caller", s.Listen.Caller)
		c.loopback("listen.operator", s.Listen.Operator)
	} else {
		c.require(hash != "", "access.operator_key_hash", "write the SHA-256 of the operators' key", "is missing, so no operator could authenticate")
	}
	if s.Access.PlaceKeyFile != "" {
		c.placeKey(s.Access.PlaceKeyFile)
	}
}

func (c *checker) loopback(key string, address netip.AddrPort) {
	c.require(!address.IsValid() || address.Addr().IsLoopback(), key,
		"use a loopback address or set access.open_on_loopback = false", "%v is not a loopback address, but access.open_on_loopback accepts everybody without a key", address)
}

func (c *checker) placeKey(file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		c.require(false, "access.place_key_file", "name a file that the process can read", "cannot be read: %v", err)
		return
	}
	c.require(len(data) >= MinPlaceKeyBytes, "access.place_key_file",
		"write at least 32 random bytes into it, the same on all routers", "%s holds %d bytes", file, len(data))
}

func (c *checker) tls(t TLS) {
	c.pair("tls.caller_cert", t.CallerCert, "tls.caller_key", t.CallerKey)
	c.pair("tls.operator_cert", t.OperatorCert, "tls.operator_key", t.OperatorKey)
	c.pair("tls.peer_cert", t.PeerCert, "tls.peer_key", t.PeerKey)
	c.pair("tls.peer_cert", t.PeerCert, "tls.peer_ca", t.PeerCA)
	c.pair("tls.peer_ca", t.PeerCA, "tls.peer_key", t.PeerKey)
	c.files(t)
}

// pair requires that both files are named or neither.
func (c *checker) pair(firstKey, first, secondKey, second string) {
	c.require(first == "" || second != "", secondKey, "name all of its files, or none to switch TLS off", "is missing while %s is set", firstKey)
	c.require(second == "" || first != "", firstKey, "name all of its files, or none to switch TLS off", "is missing while %s is set", secondKey)
}

func (c *checker) files(t TLS) {
	files := []struct{ key, name string }{
		{"tls.peer_cert", t.PeerCert}, {"tls.peer_key", t.PeerKey}, {"tls.peer_ca", t.PeerCA},
		{"tls.caller_cert", t.CallerCert}, {"tls.caller_key", t.CallerKey},
		{"tls.operator_cert", t.OperatorCert}, {"tls.operator_key", t.OperatorKey},
	}
	for _, file := range files {
		if file.name == "" {
			continue
		}
		_, err := os.Stat(file.name)
		c.require(err == nil, file.key, "name a PEM file that the process can read", "cannot be read: %v", err)
	}
}

func (c *checker) limits(l Limits) {
	remedy := "write a number above 0"
	c.require(l.BodyBytes > 0, "limits.body_bytes", remedy, "a limit of %d bytes would reject every request", l.BodyBytes)
	c.require(l.HeaderBytes > 0, "limits.header_bytes", remedy, "a limit of %d bytes would reject every request", l.HeaderBytes)
	c.require(l.Connections > 0, "limits.connections", remedy, "a limit of %d connections would reject every caller", l.Connections)
	c.require(l.Workers > 0, "limits.workers", remedy, "%d workers could run no background task", l.Workers)
	c.positive("limits.body_time", l.BodyTime)
	c.require(l.Drain >= 0, "limits.drain", "write 0s or more", "is negative")
}

func (c *checker) positive(key string, d config.Duration) {
	c.require(d > 0, key, `write a time above 0, for example "10s"`, "%v is not above 0", d.Std())
}

func (c *checker) member(m Membership) {
	c.positive("member.tick", m.Tick)
	c.positive("member.dead_after", m.DeadAfter)
	c.positive("member.promise", m.Promise)
	c.positive("member.fresh", m.Fresh)
	c.require(m.DeadAfter >= 4*m.Tick, "member.dead_after", "make it at least 4 times member.tick",
		"%v is too short for member.tick = %v: live members would be considered dead", m.DeadAfter.Std(), m.Tick.Std())
	c.require(m.Promise >= 2*m.Tick, "member.promise", "make it at least twice member.tick",
		"%v would expire between two messages, as member.tick = %v", m.Promise.Std(), m.Tick.Std())
	c.require(m.Promise <= m.DeadAfter, "member.promise", "make it at most member.dead_after",
		"%v is longer than member.dead_after = %v", m.Promise.Std(), m.DeadAfter.Std())
	c.require(m.Fresh >= 2*m.Tick, "member.fresh", "make it at least twice member.tick",
		"%v would expire between two messages, as member.tick = %v", m.Fresh.Std(), m.Tick.Std())
}

func (c *checker) log(l Log) {
	c.require(slices.Contains([]string{"error", "info", "debug"}, l.Level), "log.level", `write "error", "info" or "debug"`, "%q is not a level", l.Level)
}
