//go:build process

package process

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/version/config"
)

// routerBinary is the router binary that TestMain builds.
var routerBinary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "stoatmount-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	routerBinary = filepath.Join(dir, "stoatmount")
	build := exec.Command("go", "build", "-o", routerBinary, "github.com/stoatmount/stoatmount/cmd/stoatmount")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// router is one router process.
type router struct {
	settings settings.Settings
	peer     netip.AddrPort // as listed, possibly of a proxy
	file     string         // of the settings
	logFile  string
	command  *exec.Cmd
	exited   chan error
}

// nextHost numbers the loopback addresses of routers.
var nextHost atomic.Uint32

// loopback returns an address in 127.0.0.0/8 that no other test process uses, so
// that the ports chosen on it stay free.
func loopback() string {
	var ip [4]byte
	pid, host := uint32(os.Getpid()), nextHost.Add(1)
	binary.BigEndian.PutUint32(ip[:], 127<<24|(pid&0xffff)<<8|(host%250+2))
	return netip.AddrFrom4(ip).String()
}

// freePorts returns n free ports of an IP address. All are held until the last is known, so that
// they differ.
func freePorts(c *qt.C, ip string, n int) []netip.AddrPort {
	addresses := make([]netip.AddrPort, n)
	for i := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		c.Assert(err, qt.IsNil)
		defer func() { c.Check(listener.Close(), qt.IsNil) }()
		addresses[i] = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return addresses
}

// newRouter prepares a router with its own settings file.
func newRouter(c *qt.C, name, zone string, platform settings.Platform) *router {
	s := settings.Default()
	ip := loopback()
	s.Host = settings.Host{Name: name, Zone: zone, Region: "r1"}
	ports := freePorts(c, ip, 3)
	s.Listen = settings.Listen{Caller: ports[0], Peer: ports[1], Operator: ports[2]}
	s.Platform = platform
	s.Access = settings.Access{OpenOnLoopback: true, PlaceKeyFile: placeKey(c)}
	s.Limits.Drain = config.Duration(30 * time.Second)
	dir := c.TempDir()
	r := &router{settings: s, peer: s.Listen.Peer, file: filepath.Join(dir, "settings.toml"), logFile: filepath.Join(dir, "log")}
	data, err := toml.Marshal(s)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(r.file, data, 0o600), qt.IsNil)
	return r
}

// placeKey writes a file with the place token key, the same for all routers.
func placeKey(c *qt.C) string {
	file := filepath.Join(c.TempDir(), "place.key")
	c.Assert(os.WriteFile(file, []byte(strings.Repeat("place-key", 8)), 0o600), qt.IsNil)
	return file
}

// listedHost returns the router's entry in the platform's host list.
func (r *router) listedHost() platformclient.ListedHost {
	s := &r.settings
	return platformclient.ListedHost{
		Name: s.Host.Name, Zone: s.Host.Zone, Region: s.Host.Region,
		Peer: r.peer, Caller: s.Listen.Caller,
	}
}

// start starts the process. It is killed at the end of the test.
func (r *router) start(c *qt.C) {
	log, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Assert(err, qt.IsNil)
	defer func() { _ = log.Close() }()
	r.command = exec.Command(routerBinary, "--settings", r.file)
	r.command.Stdout, r.command.Stderr = log, log
	c.Assert(r.command.Start(), qt.IsNil)
	command, exited := r.command, make(chan error, 1)
	r.exited = exited
	go func() { exited <- command.Wait() }()
	c.Cleanup(func() {
		_ = command.Process.Kill()
		if c.Failed() {
			c.Logf("log of %s:\n%s", r.settings.Host.Name, r.logTail())
		}
	})
}

// logTail returns the end of the process log.
func (r *router) logTail() string {
	const tailBytes = 4000
	data, _ := os.ReadFile(r.logFile)
	return string(data[max(0, len(data)-tailBytes):])
}

// signal sends a signal to the process.
func (r *router) signal(c *qt.C, s syscall.Signal) {
	c.Assert(r.command.Process.Signal(s), qt.IsNil)
}

// kill kills the process and waits for its exit.
func (r *router) kill(c *qt.C) {
	r.signal(c, syscall.SIGKILL)
	<-r.exited
}

// awaitExit waits for the process to exit by itself.
func (r *router) awaitExit(c *qt.C) {
	select {
	case err := <-r.exited:
		c.Assert(err, qt.IsNil)
	case <-time.After(waitLimit):
		c.Fatalf("%s does not exit", r.settings.Host.Name)
	}
}
