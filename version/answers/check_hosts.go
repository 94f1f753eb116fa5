package answers

import (
	"encoding/hex"
	"fmt"
	"net/netip"
)

// maxPort is the largest TCP port.
const maxPort = 1<<16 - 1

func (c *checker) hosts() {
	c.require(len(c.answers.Hosts) > 0, "hosts", "describe each entry host in a [[hosts]] table", "there is none")
	seen := make(map[string]string)
	addresses := make(map[netip.Addr]string)
	for i, host := range c.answers.Hosts {
		key := fmt.Sprintf("hosts[%d]", i)
		c.name(key+".name", host.Name, "host", seen)
		c.zone(key+".zone", host.Zone)
		if !host.Address.IsValid() {
			c.require(false, key+".address", `write its IP number, for example "10.0.0.7"`, "is missing")
			continue
		}
		first, twice := addresses[host.Address]
		c.require(!twice, key+".address", "give each host its own address", "%v is the address of %s already", host.Address, first)
		addresses[host.Address] = key
		c.require(!host.Address.IsUnspecified(), key+".address", "write the IP address that callers connect to", "%v is not an address to connect to", host.Address)
		c.require(!c.answers.Entry.OpenOnLoopback || host.Address.IsLoopback(), key+".address", "use a loopback address or set entry.open_on_loopback = false",
			"%v is not a loopback address, but entry.open_on_loopback accepts everybody without a key", host.Address)
	}
}

func (c *checker) entry() {
	e := c.answers.Entry
	seen := make(map[int]string)
	for _, port := range []struct {
		key   string
		value int
	}{{"entry.caller_port", e.CallerPort}, {"entry.peer_port", e.PeerPort}, {"entry.operator_port", e.OperatorPort}} {
		c.require(port.value > 0 && port.value <= maxPort, port.key, "write a port from 1 to 65535", "%d is not a port", port.value)
		first, twice := seen[port.value]
		c.require(!twice, port.key, "give each its own port", "%d is also %s", port.value, first)
		seen[port.value] = port.key
	}
	decoded, err := hex.DecodeString(e.OperatorKeySHA256)
	valid := err == nil && len(decoded) == keyHashBytes
	c.require(valid || e.OpenOnLoopback && e.OperatorKeySHA256 == "", "entry.operator_key_sha256",
		"write the 64 hexadecimal digits that sha256sum prints for the operators' key", "is missing or not a SHA-256 in hexadecimal")
}
