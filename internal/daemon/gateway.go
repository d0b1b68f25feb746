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

	"waxwingpick/core/timer"
	"waxwingpick/internal/gateway"
	"waxwingpick/internal/httpserver"
	"waxwingpick/io/jsonlines"
	"waxwingpick/io/prometheus"
	"waxwingpick/io/udp"
	"waxwingpick/platform"
)

const (
	// lameDuckShare is the part of the time until the process is killed in which it still takes requests: the balancer
	// needs two of its checks, a second apart, and callers with open connections go on until these end.
	lameDuckShare = 0.6
	// killMargin is kept before the process is killed, to end by itself.
	killMargin = 700 * time.Millisecond
	// metricsTimeout bounds the reading of a call for the metrics, and the writing of its answer.
	metricsTimeout = 5 * time.Second
	// heapShare is the part of the memory limit that the runtime may use; stacks, the kernel's buffers and the code
	// take the rest.
	heapShare = 0.6
)

var _ subcommands.Command = (*gatewayCommand)(nil)

// gatewayCommand runs an entry on the users' platform.
type gatewayCommand struct {
	path  string
	level string
	// metricsPort is where the metrics are served; zero serves none.
	metricsPort int
}

// GatewayCommand returns the subcommand that runs an entry on the users' platform.
func GatewayCommand() subcommands.Command {
	return &gatewayCommand{}
}

// Name returns the subcommand's name.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis describes the subcommand in a line.
func (*gatewayCommand) Synopsis() string { return "run an entry on the users' platform" }

// Usage describes the subcommand.
func (*gatewayCommand) Usage() string {
	return `waxwingpickd gateway [-settings FILE] [-logLevel LEVEL] [-metricsPort PORT]

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
	f.StringVar(&c.level, "logLevel", "info", "the least level of log lines")
}

// Execute runs the process until a signal stops it.
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
	limitMemory(int(heapShare * float64(boot.Memory)))
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

// gatewayProcess is a gateway with its edges on the platform.
type gatewayProcess struct {
	boot     platform.Boot
	timers   *timer.System
	store    *platform.Store
	targets  *platform.Targets
	gateway  *gateway.Process
	callers  *platform.Callers
	balancer *platform.Balancer
	metrics  *httpserver.Server
}

func newGatewayProcess(boot platform.Boot, lines *jsonlines.Log) (*gatewayProcess, error) {
	targets, err := platform.NewTargets()
	if err != nil {
		return nil, fmt.Errorf("create client of targets: %w", err)
	}
	p := &gatewayProcess{
		boot:    boot,
		timers:  timer.NewSystem(),
		store:   platform.NewStore(boot.Store),
		targets: targets,
	}
	peerAddr := net.JoinHostPort(boot.IP, strconv.Itoa(boot.InternalPort))
	link, err := udp.Listen(peerAddr)
	if err != nil {
		return nil, err
	}
	metrics, err := prometheus.NewGateway()
	if err != nil {
		return nil, err
	}
	metrics.LogDropped(lines.Dropped)
	p.metrics = httpserver.New(&fasthttp.Server{
		Handler:      metrics.Handler(),
		ReadTimeout:  metricsTimeout,
		WriteTimeout: metricsTimeout,
	})
	p.gateway, err = gateway.New(gateway.Options{
		Instance: boot.Instance,
		Zone:     boot.Zone,
		Feed:     p.store,
		Catalog: gateway.Catalog{
			Prefix:        platform.FeedPrefix,
			RoutesPrefix:  platform.ConfigPrefix,
			TargetsPrefix: platform.TargetsPrefix,
			Routes:        platform.ReadConfig,
			Target:        platform.ReadTarget,
			TargetID:      platform.TargetID,
		},
		Targets:   targets,
		Peers:     link,
		PeerAddr:  peerAddr,
		KeyValue:  p.store,
		Timers:    p.timers,
		Log:       lines.Logger(),
		Metrics:   metrics,
		Decisions: lines,
		Retries:   boot.Retries,
		LameDuck:  time.Duration(lameDuckShare * float64(boot.Grace)),
		End:       untilEnd(boot.Grace),
	})
	if err != nil {
		return nil, err
	}
	log := lines.Logger().WithField("instance", boot.Instance)
	p.callers = platform.NewCallers(p.gateway, p.timers, boot.Descriptors, log)
	p.balancer = platform.NewBalancer(p.gateway, log)
	return p, nil
}

// Start begins to serve.
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

// Stop lets what runs end, at most until shortly before the platform kills the process.
func (p *gatewayProcess) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, untilEnd(p.boot.Grace))
	defer cancel()
	p.gateway.Drain(ctx)
	err := errors.Join(p.callers.Stop(), p.gateway.Stop())
	p.targets.Close()
	p.store.Close()
	p.timers.Close()
	return errors.Join(err, p.balancer.Stop(), p.metrics.Stop())
}

// untilEnd returns how long after the signal to stop the process ends by itself.
func untilEnd(grace time.Duration) time.Duration {
	return max(killMargin, grace-killMargin)
}
