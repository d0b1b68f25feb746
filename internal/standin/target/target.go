package target

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"waxwingpick/internal/http1"
	"waxwingpick/internal/standin/server"
)

// Target is a running stand-in.
type Target struct {
	*server.Server
	id    string
	stage string
	slots int
	born  int64

	mu          sync.Mutex
	runs        []Run
	received    []Run
	arrivals    []time.Time
	handles     map[string]bool
	prefills    int
	refused     int
	misdirected int
	faults      Faults
}

// Run is a request that the target ran, as it was received. Repeated fields are joined with "|".
type Run struct {
	ID      string
	Method  string
	URI     string
	Body    string
	Headers map[string]string
}

// Faults are the fault switches of a target. The zero value has none on.
type Faults struct {
	// Full rejects requests as not run.
	Full bool
	// Status is the status of every response to a request that ran, if not zero.
	Status int
	// BreakAfter closes the connection of each stream in the middle of the event after that many, if not zero.
	BreakAfter int
	// Raw is written as it is in response to each request that runs, and the connection is closed in order then, unless it is
	// empty.
	Raw string
	// PrefillRaw is written in the same way in response to each prefill stage.
	PrefillRaw string
	// AfterRaw is called between the writing of Raw and the end of the connection, unless it is nil.
	AfterRaw func()
	// Identity is what the target says of its incarnation, unless it is nil.
	Identity *Identity
	// Flood makes some responses have no end, unless it is nil.
	Flood *Flood
	// WriteFirst is written before each response on a connection that was used before, as a faulty target writes an earlier
	// response again.
	WriteFirst string
	// AfterRun is called when a run has begun, unless it is nil.
	AfterRun func()
	// ResponseDelay delays every response.
	ResponseDelay time.Duration
	// RequestLimit is the request limit that every response states, unless empty.
	RequestLimit string
	// Leaving makes every response state that the target leaves.
	Leaving bool
	// RetryAfter is the time in seconds that responses to rejected requests state, unless empty.
	RetryAfter string
	// CrashOn is the request body that crashes the target when it runs the request. It is down for its restart time.
	CrashOn string
	// CrashOnPart is the ID of the prompt part that crashes the target when it runs a request with it, after CrashAfter events.
	CrashOnPart string
	CrashAfter  int
}

// Flood is a response without end: a head with further fields, and then one piece after another until the caller closes the
// connection.
type Flood struct {
	Fields string
	Piece  string
	Pause  time.Duration
	// Every makes each run of that many respond so.
	Every int
}

// write writes the response to a request.
func (f *Flood) write(w io.Writer, request, stamp string) {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nWaxwingpick-Request-Id: %s\r\nWaxwingpick-Server-Stamp: %s\r\n%s\r\n", request, stamp, f.Fields)
	for err == nil {
		_, err = io.WriteString(w, f.Piece)
		time.Sleep(f.Pause)
	}
}

// Identity is what a target says of its incarnation.
type Identity struct {
	ID              string
	StartUnixMillis int64
	// Delay is the time until it says so.
	Delay time.Duration
}

// crashesOn reports whether a request whose prompt has these parts crashes the target.
func (f Faults) crashesOn(parts string) bool {
	if f.CrashOnPart == "" {
		return false
	}
	for part := range strings.SplitSeq(parts, ",") {
		if id, _, _ := strings.Cut(part, ":"); id == f.CrashOnPart {
			return true
		}
	}
	return false
}

// HealthPath is the path of the health check.
const HealthPath = "/health"

// Events is the number of events in a complete stream.
const Events = 5

// New starts a target. Requests have to name its id as the expected instance. stage is empty for a plain service.
func New(id, stage string, opts ...server.Option) (*Target, error) {
	t := &Target{
		id:      id,
		stage:   stage,
		slots:   8,
		born:    time.Now().UnixMilli(),
		handles: make(map[string]bool),
	}
	var err error
	if t.Server, err = server.New(t.routes, opts...); err != nil {
		return nil, fmt.Errorf("start target stand-in: %w", err)
	}
	t.Start()
	return t, nil
}

// ListRecord returns the record of the target in the instance list of the platform.
func (t *Target) ListRecord(service, zone, state string) map[string]any {
	entry := map[string]any{
		"service":         service,
		"address":         t.Addr(),
		"zone":            zone,
		"version":         "v1",
		"slots":           t.slots,
		"state":           state,
		"coldRemainingMs": 0,
		"sequence":        1,
		"born":            t.born,
	}
	if t.stage != "" {
		entry["stage"] = t.stage
		entry["models"] = []map[string]any{{
			"name":    "m",
			"version": 1,
		}}
	}
	return entry
}

// ID returns the ID of the target.
func (t *Target) ID() string {
	return t.id
}

// StartUnixMillis returns the start time of the target in Unix milliseconds.
func (t *Target) StartUnixMillis() int64 {
	return t.born
}

// SetFaults replaces the fault switches.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns the requests that the target ran, in order.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Arrivals returns when the requests that expect this instance arrived, in order. Releases of KV cache count.
func (t *Target) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.arrivals...)
}

// Refused returns the number of requests that Faults.Full rejected.
func (t *Target) Refused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// Misdirected returns the number of requests that expected another instance.
func (t *Target) Misdirected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.misdirected
}

// Received returns the runs and prefill stages that the target began, in order.
func (t *Target) Received() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.received)
}

// Prefills returns the number of prefill stages that the target ran.
func (t *Target) Prefills() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefills
}

// Handles returns the number of KV cache handles that were not deleted.
func (t *Target) Handles() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.handles)
}

func (t *Target) routes(app *fiber.App) {
	app.Delete("/kv-handle/:id", func(c fiber.Ctx) error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.arrivals = append(t.arrivals, time.Now())
		delete(t.handles, c.Params("id"))
		return c.SendStatus(http.StatusOK)
	})
	app.Get("/report", t.identify)
	app.Get(HealthPath, t.identify)
	app.All("/*", t.serve)
}

// identify serves the report of an engine, and the health check of any other target.
func (t *Target) identify(c fiber.Ctx) error {
	t.mu.Lock()
	id := t.faults.Identity
	t.mu.Unlock()
	if id == nil {
		id = &Identity{
			ID:              t.id,
			StartUnixMillis: t.born,
		}
	}
	if !t.Wait(id.Delay) {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	switch {
	case c.Path() == HealthPath:
		c.Set("Waxwingpick-Instance-Id", id.ID)
		return c.SendStatus(http.StatusOK)
	case t.stage == "":
		return c.SendStatus(http.StatusNotFound)
	}
	return c.JSON(fiber.Map{
		"stage": t.stage,
		"born":  id.StartUnixMillis,
	})
}

func (t *Target) serve(c fiber.Ctx) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if !t.Wait(faults.ResponseDelay) {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	c.Set("Waxwingpick-Request-Id", c.Get("Waxwingpick-Request-Id"))
	switch {
	case c.Get("Waxwingpick-Expect-Instance") != t.id:
		t.mu.Lock()
		t.misdirected++
		t.mu.Unlock()
		c.Set("Waxwingpick-Instance-Id", t.id)
		return c.SendStatus(http.StatusMisdirectedRequest)
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	if faults.RequestLimit != "" {
		c.Set("Server-Limit", faults.RequestLimit)
	}
	if faults.Leaving {
		c.Set("Server-Leaving", "1")
	}
	switch {
	case faults.Full:
		t.mu.Lock()
		t.refused++
		t.mu.Unlock()
		c.Set("Waxwingpick-Not-Executed", "1")
		if faults.RetryAfter != "" {
			c.Set("Retry-After", faults.RetryAfter)
		}
		return c.SendStatus(http.StatusServiceUnavailable)
	case c.Get("Waxwingpick-Serving-Stage") == "prefill":
		return t.prefill(c, faults.PrefillRaw)
	}
	if source := c.Get("Waxwingpick-Kv-Source"); source != "" && !strings.Contains(source, "/") {
		c.Set("Waxwingpick-Not-Executed", "1")
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	runs := t.recordRun(c)
	if faults.WriteFirst != "" && c.RequestCtx().ConnRequestNum() > 1 {
		if _, err := io.WriteString(c.RequestCtx().Conn(), faults.WriteFirst); err != nil {
			return fmt.Errorf("write an earlier response: %w", err)
		}
	}
	if faults.AfterRun != nil {
		faults.AfterRun()
	}
	crashes := faults.crashesOn(c.Get("Waxwingpick-Prompt-Prefix"))
	if faults.CrashOn != "" && string(c.BodyRaw()) == faults.CrashOn || crashes && faults.CrashAfter == 0 {
		t.Crash()
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	if f := faults.Flood; f != nil && runs%f.Every == 0 {
		id := strings.Clone(c.Get("Waxwingpick-Request-Id"))
		c.RequestCtx().HijackSetNoResponse(true)
		c.RequestCtx().Hijack(func(conn net.Conn) { f.write(conn, id, "stamp-of-"+t.id) })
		return nil
	}
	if faults.Raw != "" {
		writeRaw(c, faults.Raw, faults.AfterRaw)
		return nil
	}
	c.Set("Waxwingpick-Server-Stamp", "stamp-of-"+t.id)
	c.Set("Waxwingpick-Instance-Load", "1,0,"+strconv.Itoa(t.slots))
	if faults.Status != 0 {
		return c.Status(faults.Status).SendString("failure of " + t.id)
	}
	if t.stage == "" {
		return c.SendString("answer of " + t.id)
	}
	if crashes {
		return t.stream(c, faults.CrashAfter, t.Crash)
	}
	conn := c.RequestCtx().Conn()
	return t.stream(c, faults.BreakAfter, func() { conn.Close() })
}

// writeRaw responds with raw bytes, calls after unless it is nil, and closes the connection in order.
func writeRaw(c fiber.Ctx, raw string, after func()) {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) {
		_, _ = io.WriteString(conn, raw)
		if after != nil {
			after()
		}
	})
}

// prefill responds with a new KV cache handle, or with raw unless it is empty. Only a target of the prefill stage does.
func (t *Target) prefill(c fiber.Ctx, raw string) error {
	if t.stage != "prefill" {
		return c.SendStatus(http.StatusMisdirectedRequest)
	}
	r := runOf(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefills++
	t.received = append(t.received, r)
	if raw != "" {
		writeRaw(c, raw, nil)
		return nil
	}
	handle := fmt.Sprint("handle", t.prefills)
	t.handles[handle] = true
	return c.JSON(fiber.Map{
		"transferHandle": handle,
		"tokens":         10,
		"version":        1,
	})
}

// runOf copies a request.
func runOf(c fiber.Ctx) Run {
	r := Run{
		ID:      strings.Clone(c.Get("Waxwingpick-Request-Id")),
		Method:  strings.Clone(c.Method()),
		URI:     strings.Clone(c.OriginalURL()),
		Body:    string(c.BodyRaw()),
		Headers: make(map[string]string),
	}
	for name, value := range c.Request().Header.AllInOrder() {
		if earlier, ok := r.Headers[string(name)]; ok {
			value = []byte(earlier + "|" + string(value))
		}
		r.Headers[string(name)] = string(value)
	}
	return r
}

// recordRun records a run and returns how many there were.
func (t *Target) recordRun(c fiber.Ctx) int {
	r := runOf(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, r)
	t.received = append(t.received, r)
	return len(t.runs)
}

// stream sends the events after the one that Last-Event-Id names, or all events. If breakAfter is not zero, it calls
// breakOff in the middle of the event after that many.
func (t *Target) stream(c fiber.Ctx, breakAfter int, breakOff func()) error {
	first := 1
	if last, err := strconv.Atoi(c.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	c.Set("Content-Type", "text/event-stream")
	return c.SendStream(http1.NewStreamBody(func(w io.Writer) {
		for i := first; i <= Events; i++ {
			if breakAfter > 0 && i-first == breakAfter {
				fmt.Fprintf(w, "id: %d\ndata: half of", i)
				breakOff()
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		}
	}, func() {}))
}
