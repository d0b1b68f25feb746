package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"waxwingpick/internal/daemon"
)

const (
	// clockTicks is the number of clock ticks per second, the unit of processor times in /proc.
	clockTicks    = 100
	kibibyte      = 1024
	startTimeout  = 30 * time.Second
	startPoll     = 50 * time.Millisecond
	stopTimeout   = 10 * time.Second
	daemonEntry   = "entry"
	daemonSidecar = "sidecar"
)

// runDaemon runs the daemon that the arguments name. It returns false if they name none.
func runDaemon(args []string) (subcommands.ExitStatus, bool) {
	if len(args) < 2 || args[1] != daemonEntry && args[1] != daemonSidecar {
		return 0, false
	}
	top := flag.NewFlagSet(args[0], flag.ExitOnError)
	commander := subcommands.NewCommander(top, "capacity")
	commander.Register(daemon.EntryCommand(), "")
	commander.Register(daemon.SidecarCommand(), "")
	if err := top.Parse(args[1:]); err != nil {
		return subcommands.ExitUsageError, true
	}
	return commander.Execute(context.Background()), true
}

// process is a measured daemon.
type process struct {
	cmd    *exec.Cmd
	dir    string
	exited chan error
}

// spawn starts a daemon with the given settings and waits until its control port accepts connections.
func spawn(kind, settings, control string) (*process, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, fmt.Errorf("create settings: %w", err)
	}
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the command: %w", err)
	}
	p := &process{
		cmd:    exec.Command(self, kind, "-settings", path),
		dir:    dir,
		exited: make(chan error, 1),
	}
	var out bytes.Buffer
	p.cmd.Stdout = &out
	p.cmd.Stderr = &out
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", kind, err)
	}
	go func() {
		p.exited <- p.cmd.Wait()
	}()
	if !await(startTimeout, func() bool { return acceptsConnections(control) }) {
		p.stop()
		return nil, eris.Errorf("%s did not start: %s", kind, out.String())
	}
	return p, nil
}

func acceptsConnections(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, startPoll)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// stop terminates the process, and kills it if it has not exited within stopTimeout.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	os.RemoveAll(p.dir)
}

// usage is a reading of a process's counters.
type usage struct {
	at       time.Time
	cpu      time.Duration
	bytes    int64
	resident int64
}

// rates holds the resource usage of a process between two readings; cores and bytes are per second.
type rates struct {
	took           time.Duration
	cores          float64
	bytes          float64
	resident       float64
	controlTraffic controlTraffic
}

func (u usage) since(before usage) rates {
	took := u.at.Sub(before.at)
	return rates{
		took:     took,
		cores:    (u.cpu - before.cpu).Seconds() / took.Seconds(),
		bytes:    float64(u.bytes-before.bytes) / took.Seconds(),
		resident: float64(u.resident),
	}
}

// during measures the process for a duration.
func (p *process) during(d time.Duration) (rates, error) {
	before, err := p.usage()
	if err != nil {
		return rates{}, err
	}
	time.Sleep(d)
	after, err := p.usage()
	return after.since(before), err
}

func (p *process) usage() (usage, error) {
	u := usage{
		at: time.Now(),
	}
	stat, err := p.file("stat")
	if err != nil {
		return u, err
	}
	// The name of the command may contain spaces. After it, user and system time are the 12th and 13th field.
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, fmt.Errorf("parse processor time: %w", err)
		}
		u.cpu += time.Duration(ticks) * time.Second / clockTicks
	}
	if u.resident, err = p.counter("status", "VmRSS:"); err != nil {
		return u, err
	}
	u.resident *= kibibyte
	for _, name := range []string{"rchar:", "wchar:"} {
		n, err := p.counter("io", name)
		if err != nil {
			return u, err
		}
		u.bytes += n
	}
	return u, nil
}

func (p *process) file(name string) (string, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
	if err != nil {
		return "", fmt.Errorf("read counters: %w", err)
	}
	return string(data), nil
}

// counter returns the number after a name in a file of the process's /proc directory.
func (p *process) counter(file, name string) (int64, error) {
	text, err := p.file(file)
	if err != nil {
		return 0, err
	}
	for lines := bufio.NewScanner(strings.NewReader(text)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == name {
			return strconv.ParseInt(fields[1], 10, 64)
		}
	}
	return 0, eris.Errorf("%s has no %s", file, name)
}

func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(startPoll) {
		if done() {
			return true
		}
	}
	return false
}

// ready reports whether an entry is ready for requests.
func ready(addr string) bool {
	resp, err := http.Get("http://" + addr + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
