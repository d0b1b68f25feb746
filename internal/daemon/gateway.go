package daemon

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"waxwingpick/core/membudget"
	"waxwingpick/core/timer"
	"waxwingpick/internal/gateway"
	"waxwingpick/internal/httpserver"
	"waxwingpick/io/jsonlines"
	"waxwingpick/io/prometheus"
	"waxwingpick/io/tcp"
	"waxwingpick/io/udp"
	"waxwingpick/platform"
)

const (
	// lameDuckFraction is the fraction of the grace period during which the process still accepts requests. The load
	// balancer needs two health checks, one second apart, to stop sending requests, and callers keep using open
	// connections until these are closed.
	lameDuckFraction = 0.6
	// killMargin is the time between the end of an orderly stop and the moment at which the platform kills the process.
	killMargin = 700 * time.Millisecond
	// responseTimeout is the time to write the responses of requests that are ended at the end of the grace period. It is
	// shorter than killMargin.
	responseTimeout = 400 * time.Millisecond
	// metricsTimeout limits reading a request for the metrics and writing the response.
	metricsTimeout = 5 * time.Second
	// heapFraction is the fraction of the process's memory that the Go runtime may use. The remainder is for stacks, kernel
	// buffers and code.
	heapFraction = 0.6
	// heldFraction is the fraction of the process's memory that requests may hold together. The heap has room for as much
	// garbage, and for what does not grow with the size of requests.
	heldFraction = 0.2
)

var _ subcommands.Command = (*gatewayCommand)(nil)

// gatewayCommand is the subcommand that runs a gateway, an entry on the users' platform.
type gatewayCommand struct {
	path  string
	level string
	// metricsPort is the port for /metrics. Zero disables the metrics.
	metricsPort int
	zoneShares  bool
}

// GatewayCommand returns the subcommand that runs a gateway, an entry on the users' platform.
func GatewayCommand() subcommands.Command {
	return &gatewayCommand{}
}

// Name returns the subcommand's name.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis returns a one-line description of the subcommand.
func (*gatewayCommand) Synopsis() string { return "run an entry on the users' platform" }

// Usage returns the help text of the subcommand.
func (*gatewayCommand) Usage() string {
	return `waxwingpickd gateway [-settings FILE] [-logLevel LEVEL] [-metricsPort PORT]
                     [-zoneShares]

Runs an entry that sends requests straight to the targets of the users'
platform, until SIGTERM. The settings file has the platform's format; without
-settings its path is taken from the variable ` + platform.SettingsVariable + `.

Example:
  waxwingpickd gateway -settings /etc/waxwingpick/boot.toml

`
}

// SetFlags defines the subcommand's flags.
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "the settings file, in the platform's format")
	f.IntVar(&c.metricsPort, "metricsPort", 0, "the port that serves /metrics; 0 serves none")
	f.BoolVar(&c.zoneShares, "zoneShares", false, "send a share of the requests to other zones where that pays")
	f.StringVar(&c.level, "logLevel", "info", "the least level of log lines")
}

// Execute runs the gateway until SIGTERM or SIGINT stops it.
func (c *gatewayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path := cmp.Or(c.path, os.Getenv(platform.SettingsVariable))
	if path == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.run(path); err != nil {
		fmt.Fprintln(os.Stderr, "waxwingpickd:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *gatewayCommand) run(path string) error {
	boot, err := platform.LoadBoot(path)
	if err != nil {
		return err
	}
	if c.metricsPort != 0 {
		boot.Metrics = net.JoinHostPort(boot.IP, strconv.Itoa(c.metricsPort))
	}
	boot.ZoneShares = c.zoneShares
	limitMemory(int(heapFraction * float64(boot.Memory)))
	lines, err := newLog(c.level)
	defer closeLog(lines)
	if err != nil {
		return err
	}
	p, err := newGatewayProcess(boot, lines)
	if err != nil {
		return err
	}
	return run(p, lines.Logger(), func() (string, error) {
		_, err := platform.LoadBoot(path)
		return c.level, err
	})
}

// gatewayProcess is a gateway with its connections to the users' platform: the store, the targets, the callers, the load
// balancer's health checks and the metrics.
type gatewayProcess struct {
	boot    platform.Boot
	timers  *timer.System
	store   *platform.Store
	targets *platform.TargetClient
	// cloud is nil if the platform has no API for duties.
	cloud    *platform.Cloud
	gateway  *gateway.Process
	callers  *platform.CallerServer
	balancer *platform.ReadinessServer
	metrics  *httpserver.Server
}

func newGatewayProcess(boot platform.Boot, lines *jsonlines.Log) (*gatewayProcess, error) {
	targets, err := platform.NewTargetClient()
	if err != nil {
		return nil, fmt.Errorf("create target client: %w", err)
	}
	p := &gatewayProcess{
		boot:    boot,
		timers:  timer.NewSystem(),
		store:   platform.NewStore(boot.Store),
		targets: targets,
	}
	peerAddr := net.JoinHostPort(boot.IP, strconv.Itoa(boot.InternalPort))
	peers, err := udp.Listen(peerAddr)
	if err != nil {
		return nil, err
	}
	metrics, err := prometheus.NewGateway()
	if err != nil {
		return nil, err
	}
	metrics.LogDropped(lines.Dropped)
	budget, err := membudget.New(int64(heldFraction * float64(boot.Memory)))
	if err != nil {
		return nil, fmt.Errorf("memory for requests: %w", err)
	}
	metrics.Memory(budget.Used, budget.Refused)
	p.metrics = httpserver.New(&fasthttp.Server{
		Handler:      metrics.Handler(),
		ReadTimeout:  metricsTimeout,
		WriteTimeout: metricsTimeout,
	})
	options := gateway.Options{
		Instance: boot.Instance,
		Zone:     boot.Zone,
		Feed:     p.store,
		Catalog: gateway.Catalog{
			Prefix:        platform.FeedPrefix,
			RoutesPrefix:  platform.ConfigPrefix,
			TargetsPrefix: platform.TargetsPrefix,
			Redact:        platform.WithoutKeys,
			Routes:        platform.ReadConfig,
			Target:        platform.ReadTarget,
			TargetID:      platform.TargetID,
		},
		Targets:     targets,
		Peers:       peers,
		PeerAddr:    peerAddr,
		ZoneShares:  boot.ZoneShares,
		KeyValue:    p.store,
		Timers:      p.timers,
		Log:         lines.Logger(),
		Metrics:     metrics,
		Decisions:   lines,
		Retries:     boot.Retries,
		LameDuck:    time.Duration(lameDuckFraction * float64(boot.Grace)),
		StopTimeout: stopTimeout(boot.Grace),
		DutyLease:   boot.Duties.Lease,
		Thaw:        boot.Duties.Thaw,
	}
	if boot.Duties.UsageWindow > 0 && boot.Duties.UsageDue > 0 {
		p.cloud = platform.NewCloud(boot.Cloud)
		options.Usage = p.cloud
		options.UsageWindow = boot.Duties.UsageWindow
		options.UsageDue = boot.Duties.UsageDue
	}
	p.gateway, err = gateway.New(options)
	if err != nil {
		return nil, err
	}
	log := lines.Logger().WithField("instance", boot.Instance)
	p.callers = platform.NewCallerServer(p.gateway, p.timers, boot.Descriptors, budget, func(end tcp.LingerEnd) {
		metrics.Lingered(end.String())
		if end != tcp.LingerComplete {
			log.WithField("end", end.String()).Info("caller's connection cut after an early response")
		}
	}, log)
	p.balancer = platform.NewReadinessServer(p.gateway, log)
	return p, nil
}

// Start starts serving metrics, health checks and callers.
func (p *gatewayProcess) Start() error {
	if p.boot.Metrics != "" {
		ln, err := net.Listen("tcp", p.boot.Metrics)
		if err != nil {
			return fmt.Errorf("listen for metrics: %w", err)
		}
		p.metrics.Start(ln)
	}
	p.gateway.Start()
	return errors.Join(p.balancer.Start(p.boot.Balancer), p.callers.Start(p.boot.Callers))
}

// Stop waits for running requests and closes all connections. Shortly before the platform kills the process, the requests that
// still run are ended with what is known of them.
func (p *gatewayProcess) Stop(ctx context.Context) error {
	draining, cancel := context.WithTimeout(ctx, stopTimeout(p.boot.Grace))
	defer cancel()
	p.gateway.Drain(draining)
	p.gateway.Abort()
	err := p.callers.Stop()
	// A request has ended before its response is written.
	p.callers.Await(draining)
	writing, cancelWriting := context.WithTimeout(context.WithoutCancel(ctx), responseTimeout)
	defer cancelWriting()
	p.callers.Await(writing)
	err = errors.Join(err, p.gateway.Stop())
	p.targets.Close()
	p.store.Close()
	if p.cloud != nil {
		p.cloud.Close()
	}
	p.timers.Close()
	return errors.Join(err, p.balancer.Stop(), p.metrics.Stop())
}

// stopTimeout returns the maximum time from the stop signal to the end of the process, given the time after which the
// platform kills it. It is at least killMargin.
func stopTimeout(grace time.Duration) time.Duration {
	return max(killMargin, grace-killMargin)
}
