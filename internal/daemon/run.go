package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick/io/jsonlines"
)

const (
	// dialTimeout limits a sidecar's connection attempt that checks whether a plain service is alive.
	dialTimeout = 200 * time.Millisecond
	// logCloseTimeout limits the time for writing the remaining log lines when the process ends.
	logCloseTimeout = time.Second
)

// process is an entry, a sidecar or a gateway.
type process interface {
	Start() error
	Stop(ctx context.Context) error
}

// awaitStop waits for a stop signal and returns it. It reloads the settings on each reload signal that arrives before.
func awaitStop(signals, reloads <-chan os.Signal, log *logrus.Logger, reload reloadFunc) os.Signal {
	for {
		select {
		case s := <-signals:
			return s
		case <-reloads:
			reloadSettings(log, reload)
		}
	}
}

func reloadSettings(log *logrus.Logger, reload reloadFunc) {
	level, err := reload()
	if err != nil {
		log.WithField("error", err.Error()).Error("settings not reloaded: the previous settings remain in use")
		return
	}
	if err := setLevel(log, level); err != nil {
		log.WithField("error", err.Error()).Error("settings not reloaded: the previous settings remain in use")
		return
	}
	log.WithField("level", log.GetLevel().String()).Info("settings reloaded: log level, certificates")
}

// newLog returns a log that writes JSON lines to standard output. The log is also returned with an error, so that the
// caller can close it.
func newLog(level string) (*jsonlines.Log, error) {
	lines := jsonlines.New(os.Stdout)
	return lines, setLevel(lines.Logger(), level)
}

// closeLog writes the remaining lines. It gives up after logCloseTimeout if the reader of standard output has stalled.
func closeLog(lines *jsonlines.Log) {
	ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
	defer cancel()
	lines.Close(ctx)
}

// setLevel sets the minimum level of log lines. An empty level means info.
func setLevel(log *logrus.Logger, level string) error {
	if level == "" {
		level = logrus.InfoLevel.String()
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("parse log level: %w", err)
	}
	log.SetLevel(parsed)
	return nil
}

// reloadFunc reads the settings file and the certificates again and returns the log level from the file.
type reloadFunc func() (level string, err error)

// run starts the process and stops it on SIGTERM or SIGINT. A second SIGINT, which comes from a terminal, aborts the requests that still
// run. A platform may repeat SIGTERM while the process stops.
// On SIGHUP it reads the settings file and the certificates again. Of the settings only the log level is applied, and
// only if the file and all certificates are valid. Each valid certificate is used even if the file or another
// certificate is invalid.
func run(p process, log *logrus.Logger, reload reloadFunc) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	if err := p.Start(); err != nil {
		return err
	}
	s := awaitStop(signals, reloads, log, reload)
	log.WithField("signal", s.String()).Info("stopping on signal")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		if awaitAbort(signals, stopped, s == syscall.SIGINT, log) {
			cancel()
		}
	}()
	return p.Stop(ctx)
}

// awaitAbort waits for the second SIGINT and reports whether it came before the process has stopped. interrupted means that the stop
// signal was one.
func awaitAbort(signals <-chan os.Signal, stopped <-chan struct{}, interrupted bool, log *logrus.Logger) bool {
	for {
		select {
		case <-stopped:
			return false
		case s := <-signals:
			if s != syscall.SIGINT || !interrupted {
				interrupted = interrupted || s == syscall.SIGINT
				log.WithField("signal", s.String()).Info("stop signal repeated: running requests go on")
				continue
			}
			log.WithField("signal", s.String()).Warn("second interrupt: aborting running requests")
			return true
		}
	}
}
