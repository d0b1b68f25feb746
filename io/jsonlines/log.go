package jsonlines

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
)

// Bounds of the lines that wait, in bytes: some thousand lines of failures, and a quarter of it for the routine.
const (
	keptBytes    = 1 << 20
	routineBytes = 256 << 10
)

// timeFormat has milliseconds, so that lines of several processes can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log writes JSON lines without ever making their writers wait; it is safe for concurrent use.
type Log struct {
	out     io.Writer
	ring    *ring
	loggers [lanes]*logrus.Logger
	done    chan struct{}
}

var _ waxwingpick.DecisionLog = (*Log)(nil)

// Option sets one property of a log.
type Option func(*[lanes]int)

// Bytes bounds the lines of a class that wait to be written, in bytes.
func Bytes(l waxwingpick.Lane, limit int) Option {
	return func(limits *[lanes]int) {
		limits[l] = limit
	}
}

// New returns a log that writes to out; Close has to follow.
func New(out io.Writer, opts ...Option) *Log {
	limits := [lanes]int{
		waxwingpick.LaneKept:    keptBytes,
		waxwingpick.LaneRoutine: routineBytes,
	}
	for _, opt := range opts {
		opt(&limits)
	}
	l := &Log{
		out:  out,
		ring: newRing(limits),
		done: make(chan struct{}),
	}
	for i := range l.loggers {
		logger := logrus.New()
		logger.SetFormatter(&logrus.JSONFormatter{
			TimestampFormat: timeFormat,
		})
		logger.SetOutput(lineWriter{
			ring: l.ring,
			lane: waxwingpick.Lane(i),
		})
		l.loggers[i] = logger
	}
	go l.run()
	return l
}

// Logger returns the logger of all lines but the decisions on requests. Its level bounds its own lines; where it is
// debug, lines of that level take the room of the others.
func (l *Log) Logger() *logrus.Logger {
	return l.loggers[waxwingpick.LaneKept]
}

// Write writes a line for each decision.
func (l *Log) Write(d waxwingpick.Decisions) {
	log := l.loggers[d.Lane]
	for _, decision := range d.List {
		log.WithTime(decision.At).WithFields(fields(d, decision)).Info("decision")
	}
	if d.Omitted > 0 {
		log.WithFields(logrus.Fields{
			"instance": d.Instance,
			"request":  d.Request,
			"omitted":  d.Omitted,
		}).Info("decisions omitted")
	}
}

func fields(d waxwingpick.Decisions, decision waxwingpick.Decision) logrus.Fields {
	f := logrus.Fields{
		"instance": d.Instance,
		"request":  d.Request,
		"action":   decision.Action,
		"outcome":  decision.Outcome,
	}
	if len(decision.Inputs) > 0 {
		inputs := make(map[string]any, len(decision.Inputs))
		for _, i := range decision.Inputs {
			inputs[i.Name] = i.Value
		}
		f["inputs"] = inputs
	}
	return f
}

// Dropped returns how many lines of a class found no room.
func (l *Log) Dropped(lane waxwingpick.Lane) uint64 {
	return l.ring.droppedOf(lane)
}

// Close writes what waits until ctx ends; later lines are dropped.
func (l *Log) Close(ctx context.Context) {
	l.ring.close()
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

// run writes lines until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	var told [lanes]uint64
	for {
		taken, dropped := l.ring.take()
		n := 0
		for lane, lines := range taken {
			n += len(lines)
			for _, line := range lines {
				// Whoever reads the lines is gone; there is nowhere left to tell it.
				_, _ = l.out.Write(line)
				l.ring.written(waxwingpick.Lane(lane), line)
			}
		}
		if n == 0 {
			return
		}
		if dropped != told {
			told = dropped
			l.tellDropped(dropped)
		}
	}
}

// droppedLine tells how many lines of each class found no room since the start.
type droppedLine struct {
	Kept    uint64 `json:"kept"`
	Level   string `json:"level"`
	Message string `json:"msg"`
	Routine uint64 `json:"routine"`
	Time    string `json:"time"`
}

func (l *Log) tellDropped(dropped [lanes]uint64) {
	line, err := json.Marshal(droppedLine{
		Kept:    dropped[waxwingpick.LaneKept],
		Level:   logrus.WarnLevel.String(),
		Message: "log lines dropped since the start",
		Routine: dropped[waxwingpick.LaneRoutine],
		Time:    time.Now().Format(timeFormat),
	})
	if err != nil {
		return // A struct of strings and numbers always encodes.
	}
	_, _ = l.out.Write(append(line, '\n'))
}
