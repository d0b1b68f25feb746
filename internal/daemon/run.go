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
	dialTimeout = 200 * time.Millisecond
	// lastLinesWait bounds the wait for the reader of the log at a process's end.
	lastLinesWait = time.Second
)

// process is a part that runs until it is stopped.
type process interface {
	Start() error
	Stop(ctx context.Context) error
}

// awaitStop takes reloads until a signal to stop comes.
func awaitStop(signals, reloads <-chan os.Signal, log *logrus.Logger, reload reloadFunc) os.Signal {
	for {
		select {
		case s := <-signals:
			return s
		case <-reloads:
			applyLevel(log, reload)
		}
	}
}

func applyLevel(log *logrus.Logger, reload reloadFunc) {
	level, err := reload()
	if err != nil {
		log.WithField("error", err.Error()).Error("settings not reloaded: the former ones stay")
		return
	}
	if err := setLevel(log, level); err != nil {
		log.WithField("error", err.Error()).Error("settings not reloaded: the former ones stay")
		return
	}
	log.WithField("level", log.GetLevel().String()).Info("settings reloaded: log level, certificates")
}

// newLog returns a log of JSON lines on standard output.
func newLog(level string) (*jsonlines.Log, error) {
	lines := jsonlines.New(os.Stdout)
	return lines, setLevel(lines.Logger(), level)
}

// closeLog writes the last lines, unless whoever reads them has stalled.
func closeLog(lines *jsonlines.Log) {
	ctx, cancel := context.WithTimeout(context.Background(), lastLinesWait)
	defer cancel()
	lines.Close(ctx)
}

// setLevel sets the log's level; empty means info.
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

// reloadFunc reads the settings file and the certificates again and returns the log level that the file asks for.
type reloadFunc func() (level string, err error)

// run starts the process and stops it on the first signal to stop; a second one cuts what still runs. SIGHUP takes the
// log level of the settings file and reads the certificates again; a bad file changes nothing.
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
	log.WithField("signal", s.String()).Info("stop asked for")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		s := <-signals
		log.WithField("signal", s.String()).Warn("second signal: running requests are cut")
		cancel()
	}()
	return p.Stop(ctx)
}
