//go:build process

package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// ownerOf returns the router that opened a connection on this host, or "".
func (env *environment) ownerOf(c net.Conn) string {
	inode, err := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if err != nil || inode == 0 {
		return "" // closed meanwhile
	}
	socket := fmt.Sprintf("socket:[%d]", inode)
	for _, r := range env.routers {
		r.mu.Lock()
		pid := r.cmd.Process.Pid
		r.mu.Unlock()
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		files, err := os.ReadDir(folder)
		if err != nil {
			continue // the process has ended
		}
		for _, f := range files {
			if target, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && target == socket {
				return r.name
			}
		}
	}
	return ""
}

// The structures inet_diag_sockid, inet_diag_req_v2 and inet_diag_msg of sock_diag(7); ports and
// addresses are in network byte order.
type (
	socketID struct {
		LocalPort, RemotePort [2]byte
		Local, Remote         [net.IPv6len]byte
		Interface             uint32
		Cookie                [2]uint32
	}
	socketQuery struct {
		Family, Protocol, Extensions, _ uint8
		States                          uint32
		ID                              socketID
	}
	socketAnswer struct {
		Family, State, Timer, Retransmits                 uint8
		ID                                                socketID
		Expires, ReceiveQueue, WriteQueue, User, InodeNum uint32
	}
)

// inodeOf returns the inode of the IPv4 socket with these addresses, 0 if no process holds it. It
// asks for this one socket, as the table of all sockets has tens of thousands of lines after a load.
func inodeOf(local, remote *net.TCPAddr) (uint32, error) {
	const noCookie, anyState = ^uint32(0), ^uint32(0)
	query := socketQuery{Family: unix.AF_INET, Protocol: unix.IPPROTO_TCP, States: anyState, ID: socketID{Cookie: [2]uint32{noCookie, noCookie}}}
	binary.BigEndian.PutUint16(query.ID.LocalPort[:], uint16(local.Port))
	binary.BigEndian.PutUint16(query.ID.RemotePort[:], uint16(remote.Port))
	copy(query.ID.Local[:], local.IP.To4())
	copy(query.ID.Remote[:], remote.IP.To4())
	header := unix.NlMsghdr{Len: uint32(unix.SizeofNlMsghdr + binary.Size(query)), Type: unix.SOCK_DIAG_BY_FAMILY, Flags: unix.NLM_F_REQUEST}
	message, err := binary.Append(nil, binary.NativeEndian, header)
	if err != nil {
		return 0, err
	}
	if message, err = binary.Append(message, binary.NativeEndian, query); err != nil {
		return 0, err
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Sendto(fd, message, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	reply := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(fd, reply, 0)
	if err != nil {
		return 0, err
	}
	if n, err = binary.Decode(reply[:n], binary.NativeEndian, &header); err != nil {
		return 0, err
	}
	if header.Type != unix.SOCK_DIAG_BY_FAMILY {
		return 0, fmt.Errorf("no socket with addresses %v and %v", local, remote)
	}
	var answer socketAnswer
	_, err = binary.Decode(reply[n:], binary.NativeEndian, &answer)
	return answer.InodeNum, err
}

// connect opens n connections and returns both sides of them.
func connect(t *testing.T, l net.Listener, n int) (opened, accepted []net.Conn) {
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		a, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		opened, accepted = append(opened, c), append(accepted, a)
	}
	return opened, accepted
}

func TestOwnersOfConnectionsAreFoundWithoutReadingTheTableOfSockets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	env := &environment{routers: []*router{{name: "self", cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}}}
	const closed, conns = 4000, 8
	for range closed {
		c, a := connect(t, l, 1)
		_, _ = a[0].Close(), c[0].Close()
	}
	opened, accepted := connect(t, l, conns)
	n := testing.AllocsPerRun(1, func() {
		for _, a := range accepted {
			if owner := env.ownerOf(a); owner != "self" {
				t.Errorf("the owner is %q, want self", owner)
			}
		}
	})
	if n >= closed { // the table has a line for each
		t.Errorf("%d look-ups make %.0f allocations beside %d sockets of closed connections", conns, n, closed)
	}
	for i, c := range opened {
		_ = c.Close()
		if owner := env.ownerOf(accepted[i]); owner != "" {
			t.Errorf("the owner of a connection that was closed is %q", owner)
		}
	}
}
