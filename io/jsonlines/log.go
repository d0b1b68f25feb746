package jsonlines

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
)

// Default buffer sizes in bytes. LogClassKept has capacity for some thousand lines, LogClassRoutine for a quarter of
// that.
const (
	keptBufferSize    = 1 << 20
	routineBufferSize = 256 << 10
)

// timeFormat includes milliseconds, so that lines of several processes can be merged in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log writes JSON lines without blocking its callers. It is safe for concurrent use.
type Log struct {
	out     io.Writer
	buffer  *buffer
	loggers [classes]*logrus.Logger
	done    chan struct{}
}

var _ waxwingpick.DecisionLog = (*Log)(nil)

// Option configures a Log.
type Option func(*[classes]int)

// BufferSize sets the maximum size of the buffered lines of a class, in bytes.
func BufferSize(l waxwingpick.LogClass, limit int) Option {
	return func(limits *[classes]int) {
		limits[l] = limit
	}
}

// New returns a log that writes to out. The caller must call Close.
func New(out io.Writer, opts ...Option) *Log {
	limits := [classes]int{
		waxwingpick.LogClassKept:    keptBufferSize,
		waxwingpick.LogClassRoutine: routineBufferSize,
	}
	for _, opt := range opts {
		opt(&limits)
	}
	l := &Log{
		out:    out,
		buffer: newBuffer(limits),
		done:   make(chan struct{}),
	}
	for i := range l.loggers {
		logger := logrus.New()
		logger.SetFormatter(&logrus.JSONFormatter{
			TimestampFormat: timeFormat,
		})
		logger.SetOutput(lineWriter{
			buffer: l.buffer,
			class:  waxwingpick.LogClass(i),
		})
		l.loggers[i] = logger
	}
	go l.run()
	return l
}

// Logger returns the logger for all lines except decisions on requests. Its level does not apply to decisions. At level
// debug, debug lines share the buffer of LogClassKept and can displace other lines.
func (l *Log) Logger() *logrus.Logger {
	return l.loggers[waxwingpick.LogClassKept]
}

// Write logs one line per decision, and one for the number of omitted decisions if there are any.
func (l *Log) Write(d waxwingpick.Decisions) {
	log := l.loggers[d.LogClass]
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

// Dropped returns the number of dropped lines of a class.
func (l *Log) Dropped(class waxwingpick.LogClass) uint64 {
	return l.buffer.droppedOf(class)
}

// Close writes the buffered lines and returns when they are written or ctx ends. Later lines are dropped.
func (l *Log) Close(ctx context.Context) {
	l.buffer.close()
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

// run writes buffered lines until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	var reported [classes]uint64
	for {
		taken, dropped := l.buffer.take()
		n := 0
		for class, lines := range taken {
			n += len(lines)
			for _, line := range lines {
				// If the reader has closed the stream, there is no other place to report the error.
				_, _ = l.out.Write(line)
				l.buffer.written(waxwingpick.LogClass(class), line)
			}
		}
		if n == 0 {
			return
		}
		if dropped != reported {
			reported = dropped
			l.writeDropped(dropped)
		}
	}
}

// droppedLine is a log line with the number of lines of each class that were dropped since the start.
type droppedLine struct {
	Kept    uint64 `json:"kept"`
	Level   string `json:"level"`
	Message string `json:"msg"`
	Routine uint64 `json:"routine"`
	Time    string `json:"time"`
}

func (l *Log) writeDropped(dropped [classes]uint64) {
	line, err := json.Marshal(droppedLine{
		Kept:    dropped[waxwingpick.LogClassKept],
		Level:   logrus.WarnLevel.String(),
		Message: "log lines dropped since the start",
		Routine: dropped[waxwingpick.LogClassRoutine],
		Time:    time.Now().Format(timeFormat),
	})
	if err != nil {
		return // Unreachable: a struct of strings and numbers can always be encoded.
	}
	_, _ = l.out.Write(append(line, '\n'))
}
