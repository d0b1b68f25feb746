package target

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"waxwingpick/internal/http1"
	"waxwingpick/internal/standin/server"
)

// Target is the stand-in.
type Target struct {
	*server.Server
	id    string
	stage string
	slots int

	mu          sync.Mutex
	runs        []Run
	handles     map[string]bool
	next        int
	refused     int
	misdirected int
	faults      Faults
}

// Run is one request as the target saw it when it ran it.
type Run struct {
	ID      string
	Method  string
	URI     string
	Body    string
	Headers map[string]string
}

// Faults are what is wrong with the target.
type Faults struct {
	// Full has requests refused as not run.
	Full bool
	// Status answers every run, if not zero.
	Status int
	// BreakAfter ends streams after so many events, if not zero, in the middle of the next one.
	BreakAfter int
	// Silence is the time before an answer.
	Silence time.Duration
	// CrashOn is the body of requests that crash the target once it runs them; it stays down.
	CrashOn string
}

// Events is the number of events of each stream.
const Events = 5

// New starts a target with the id that it is expected by; stage is empty for a plain service.
func New(id, stage string, opts ...server.Option) (*Target, error) {
	t := &Target{
		id:      id,
		stage:   stage,
		slots:   8,
		handles: make(map[string]bool),
	}
	var err error
	if t.Server, err = server.New(t.routes, opts...); err != nil {
		return nil, fmt.Errorf("start target stand-in: %w", err)
	}
	t.Start()
	return t, nil
}

// Entry is what the target writes into the list of its platform.
func (t *Target) Entry(service, zone, state string) map[string]any {
	entry := map[string]any{
		"service":         service,
		"address":         t.Addr(),
		"zone":            zone,
		"version":         "v1",
		"slots":           t.slots,
		"state":           state,
		"coldRemainingMs": 0,
		"sequence":        1,
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

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns what the target ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Refused returns how many requests the target refused as not run, being full.
func (t *Target) Refused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// Misdirected returns the number of requests that were meant for another target.
func (t *Target) Misdirected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.misdirected
}

// Readings returns how many prompts the target read for others.
func (t *Target) Readings() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Handles returns the number of handles that were neither taken nor freed.
func (t *Target) Handles() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.handles)
}

func (t *Target) routes(app *fiber.App) {
	app.Delete("/kv-handle/:id", func(c fiber.Ctx) error {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.handles, c.Params("id"))
		return c.SendStatus(http.StatusOK)
	})
	app.All("/*", t.serve)
}

func (t *Target) serve(c fiber.Ctx) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if !t.Wait(faults.Silence) {
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
	case faults.Full:
		t.mu.Lock()
		t.refused++
		t.mu.Unlock()
		c.Set("Waxwingpick-Not-Executed", "1")
		return c.SendStatus(http.StatusServiceUnavailable)
	case c.Get("Waxwingpick-Serving-Stage") == "prefill":
		return t.prefill(c)
	}
	if source := c.Get("Waxwingpick-Kv-Source"); source != "" && !strings.Contains(source, "/") {
		c.Set("Waxwingpick-Not-Executed", "1")
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	t.note(c)
	if faults.CrashOn != "" && string(c.Body()) == faults.CrashOn {
		t.Crash()
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	c.Set("Waxwingpick-Server-Stamp", "stamp-of-"+t.id)
	c.Set("Waxwingpick-Instance-Load", "1,0,"+strconv.Itoa(t.slots))
	if faults.Status != 0 {
		return c.Status(faults.Status).SendString("failure of " + t.id)
	}
	if t.stage == "" {
		return c.SendString("answer of " + t.id)
	}
	return t.stream(c, faults.BreakAfter)
}

// prefill keeps KV cache, which only an engine of that stage does.
func (t *Target) prefill(c fiber.Ctx) error {
	if t.stage != "prefill" {
		return c.SendStatus(http.StatusMisdirectedRequest)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	handle := fmt.Sprint("handle", t.next)
	t.handles[handle] = true
	return c.JSON(fiber.Map{
		"transferHandle": handle,
		"tokens":         10,
		"version":        1,
	})
}

func (t *Target) note(c fiber.Ctx) {
	r := Run{
		ID:      strings.Clone(c.Get("Waxwingpick-Request-Id")),
		Method:  strings.Clone(c.Method()),
		URI:     strings.Clone(c.OriginalURL()),
		Body:    string(c.Body()),
		Headers: make(map[string]string),
	}
	for name, value := range c.Request().Header.All() {
		r.Headers[string(name)] = string(value)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, r)
}

// stream sends the events that follow the last one that the caller has.
func (t *Target) stream(c fiber.Ctx, breakAfter int) error {
	first := 1
	if last, err := strconv.Atoi(c.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	c.Set("Content-Type", "text/event-stream")
	conn := c.RequestCtx().Conn()
	return c.SendStream(http1.NewStreamBody(func(w io.Writer) {
		for i := first; i <= Events; i++ {
			if breakAfter > 0 && i-first == breakAfter {
				fmt.Fprintf(w, "id: %d\ndata: half of", i)
				conn.Close()
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		}
	}, func() {}))
}
