package cloud

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gofiber/fiber/v3"

	"waxwingpick/internal/standin/server"
)

// Cloud is a running stand-in.
type Cloud struct {
	*server.Server

	mu      sync.Mutex
	reports []Report
	fenced  bool
	highest int64
	// refuse is the status of each call, if not zero.
	refuse int
	// onReport is called with each report before its response, unless it is nil.
	onReport func(Report)
}

// Report is a usage report as it was received.
type Report struct {
	Holder string
	Token  int64
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
	// Accepted is false for a report that was refused.
	Accepted bool
}

// New starts a stand-in.
func New() (*Cloud, error) {
	c := &Cloud{}
	var err error
	if c.Server, err = server.New(func(app *fiber.App) {
		app.Post("/usage", c.usage)
	}); err != nil {
		return nil, fmt.Errorf("start cloud stand-in: %w", err)
	}
	c.Start()
	return c, nil
}

// CheckFencing makes the stand-in refuse tokens lower than the highest one seen.
func (c *Cloud) CheckFencing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced = true
}

// Refuse makes the stand-in refuse each call with a status; zero accepts them again.
func (c *Cloud) Refuse(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = status
}

// OnReport sets the function that is called with each report before its response.
func (c *Cloud) OnReport(fn func(Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onReport = fn
}

// Reports returns the received reports in order.
func (c *Cloud) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.reports)
}

func (c *Cloud) usage(ctx fiber.Ctx) error {
	var r Report
	if err := ctx.Bind().JSON(&r); err != nil {
		return ctx.SendStatus(http.StatusBadRequest)
	}
	var err error
	if r.Token, err = strconv.ParseInt(ctx.Get("Waxwingpick-Fence-Token"), 10, 64); err != nil {
		return ctx.SendStatus(http.StatusBadRequest)
	}
	r.Holder = strings.Clone(ctx.Get("Waxwingpick-Duty-Holder"))
	status, fn := c.record(&r)
	if fn != nil {
		fn(r)
	}
	return ctx.SendStatus(status)
}

// record records a report and returns the status of its response.
func (c *Cloud) record(r *Report) (int, func(Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := http.StatusOK
	switch {
	case c.refuse != 0:
		status = c.refuse
	case c.fenced && r.Token < c.highest:
		status = http.StatusConflict
	}
	c.highest = max(c.highest, r.Token)
	r.Accepted = status == http.StatusOK
	c.reports = append(c.reports, *r)
	return status, c.onReport
}
