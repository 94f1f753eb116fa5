package fleet

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/platform/platformtest"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	CantDo = 2
)

// Bounds of the settings, as the small deployments have them.
const (
	Contact     = 3 * time.Second
	Drain       = 2 * time.Second
	ConfigApply = 2 * time.Second
	Grace       = 8 * time.Second
)

// Beat is the interval between the writes of an endpoint's entry.
const Beat = 1200 * time.Millisecond

// hostsPerByte bounds a byte of the loopback addresses of the routers, which differ between plays side by side.
const hostsPerByte = 250

// Host is the host name of all routes.
const Host = "review.example"

// Key and Workspace are the API key of the callers and its workspace.
const (
	Key       = "key-of-the-review"
	Workspace = "workspace"
)

// Record is the list of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

// Write adds a line.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Router is a process of the program.
type Router struct {
	Name, Front, Ready, Directory string
	Relay                         string // address for the other routers
	settings, log                 string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// Fleet is a deployment.
type Fleet struct {
	Store   *platformtest.Store
	Record  *Record
	Routers []*Router
	Trouble bool // false if the case is played without its disruption

	binary, folder string
	file           *os.File
	stop           chan struct{}
	beats          sync.WaitGroup
	mu             sync.Mutex
	endpoints      []*platformtest.Endpoint
}

// New returns a deployment without routers. The record is written to record.txt in folder.
func New(binary, folder string) (*Fleet, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, Record: &Record{began: time.Now(), out: file}, Trouble: os.Getenv("TROUBLE") != "0",
		binary: binary, folder: temporary, file: file, stop: make(chan struct{})}, nil
}

// Close ends everything that the deployment started.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		if r.cmd == nil {
			continue // it could not be started
		}
		r.Signal(syscall.SIGCONT)
		r.Signal(syscall.SIGKILL)
		<-r.ended
	}
	close(f.stop)
	f.beats.Wait()
	f.mu.Lock()
	for _, e := range f.endpoints {
		e.Close()
	}
	f.mu.Unlock()
	f.Store.Close()
	_ = os.RemoveAll(f.folder)
	_ = f.file.Close()
}

// StartRouters starts processes in zones z0, z1 and so on, and waits until all are ready.
func (f *Fleet) StartRouters(count, zones int) error {
	for i := range count {
		r := &Router{Name: fmt.Sprintf("front-z%d-%d", i%zones, 1+i/zones)}
		host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/hostsPerByte%hostsPerByte, 1+os.Getpid()%hostsPerByte, i+1)
		ports := make([]int, 4)
		for p := range ports {
			port, err := platformtest.FreePort()
			if err != nil {
				return err
			}
			ports[p] = port
		}
		at := func(p int) string { return fmt.Sprintf("%s:%d", host, ports[p]) }
		r.Front, r.Ready, r.Directory, r.Relay = at(0), at(1), at(2), at(3)
		r.settings, r.log = filepath.Join(f.folder, r.Name+".toml"), filepath.Join(f.folder, r.Name+".log")
		text := fmt.Sprintf(settings, r.Name, host, i%zones, ports[3], ports[3], r.Front, r.Ready, r.Directory,
			Contact.Milliseconds(), Drain.Milliseconds(), int(Grace.Seconds()), ConfigApply.Milliseconds(), f.Store.Addr)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
		if err := f.Start(r); err != nil {
			return err
		}
	}
	return f.AwaitReady(10 * time.Second)
}

const settings = `node_name = %q
role = "router"
machine_class = "front"
serves = ["front","directory"]
ip = %q
zone = "z%d"
region = "r"
port_range = [%d,%d]
bootstrap = true
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[listen]
front = %q
ready = %q
directory = %q
[limits]
cpu_share = 0.4
cpus = 1
memory_mb = 284
max_fds = 4100
[bounds]
contact_ms = %d
drain_ms = %d
grace_s = %d
config_apply_ms = %d
loss_slack_ms = 200
rollback_slack_ms = 250
evacuate_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
cold_over = 1.5
cold_slack = 5
recovery_s = 12
cap_x = 2
ttl_max_s = 5
[platform]
addr = %q
form = "log"
`

// Start starts the process of a router with the command of the deploy file.
func (f *Fleet) Start(r *Router) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "platform", "--metrics-port", "9464")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+r.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended = cmd, ended
	r.mu.Unlock()
	f.Record.Write("router %s started, front %s", r.Name, r.Front)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		f.Record.Write("router %s ended: %v", r.Name, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(s) // fails only if the process has ended
}

// AwaitReady waits until all routers are ready.
func (f *Fleet) AwaitReady(most time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(most)
	for _, r := range f.Routers {
		for {
			resp, err := client.Get("http://" + r.Ready + "/stoatmount/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", r.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.Record.Write("all routers are ready")
	return nil
}

// KeepLogs copies what the routers wrote into a folder; for the one who looks for the cause.
func (f *Fleet) KeepLogs(folder string) {
	for _, r := range f.Routers {
		if data, err := os.ReadFile(r.log); err == nil {
			_ = os.WriteFile(filepath.Join(folder, r.Name+".log"), data, 0o600)
		}
	}
}

// Owns reports whether the present process of the router opened a connection that another process of this host accepted.
func (r *Router) Owns(accepted net.Conn) bool {
	inode := inodeOf(accepted.RemoteAddr().(*net.TCPAddr), accepted.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return false // closed meanwhile
	}
	r.mu.Lock()
	folder := fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid)
	r.mu.Unlock()
	files, err := os.ReadDir(folder)
	if err != nil {
		return false // the process has ended
	}
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(folder, file.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// inodeOf returns the inode of the IPv4 socket with these addresses, "" if there is none.
func inodeOf(local, remote *net.TCPAddr) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	at := func(a *net.TCPAddr) string {
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	const localField, remoteField, inodeField = 1, 2, 9
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > inodeField && f[localField] == at(local) && f[remoteField] == at(remote) {
			return f[inodeField]
		}
	}
	return ""
}
