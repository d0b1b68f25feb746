package classify

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
	"waxwingpick/core/config"
)

// minSamples is the count from which a workspace's history takes precedence over that of all workspaces.
const minSamples = 8

// bytesWeight is the weight of a new observation in the moving average of bytes per token.
const bytesWeight = 0.1

// Request holds the properties of a request that determine its classification.
type Request struct {
	Workspace waxwingpick.WorkspaceID
	// BodyBytes is the size of the prompt, or of the body if the prompt is not extracted from it.
	BodyBytes int
	// MaxTokens is the caller's limit on output tokens, zero if none is set.
	MaxTokens int
	// Prefer and Priority are the values of the caller's headers, empty if absent.
	Prefer   string
	Priority string
	// NotRepeatable is set if the request may run at most once.
	NotRepeatable bool
	// Class overrides the classification if present.
	Class waxwingpick.Option[waxwingpick.Class]
}

// Result is the classification of a request.
type Result struct {
	Class        waxwingpick.Class
	PromptTokens int
	// OutputTokens is the estimated number of output tokens at the configured quantile.
	OutputTokens int
	Deadline     time.Time
	// FirstTokenBy is when the first token is due, the zero time if the preset has no objective for it.
	FirstTokenBy time.Time
	Urgency      int
}

// Classifier classifies requests and records token counts. It is safe for concurrent use.
type Classifier struct {
	settings settings
	shards   [shardCount]shard
	overall  shard
}

type shard struct {
	mu      sync.Mutex
	history *simplelru.LRU[waxwingpick.WorkspaceID, *history]
}

type history struct {
	output        [3]sketch
	bytesPerToken float64
}

// New returns a Classifier. It fails if an option is out of bounds.
func New(opts ...Option) (*Classifier, error) {
	c := &Classifier{
		settings: settings{
			workspaces: defaultWorkspaces,
			quantile:   defaultQuantile,
			longPrompt: defaultLongPrompt,
			longOutput: defaultLongOutput,
			minWait:    defaultMinWait,
			maxWait:    defaultMaxWait,
		},
	}
	for _, opt := range opts {
		if err := opt(&c.settings); err != nil {
			return nil, fmt.Errorf("classifier option: %w", err)
		}
	}
	for i := range c.shards {
		if err := c.shards[i].init(c.settings.workspaces / shardCount); err != nil {
			return nil, err
		}
	}
	if err := c.overall.init(1); err != nil {
		return nil, err
	}
	return c, nil
}

// Classify returns the class, deadline and estimates of a request under the given preset.
func (c *Classifier) Classify(now time.Time, preset config.Preset, req Request) Result {
	prompt := c.promptTokens(req)
	urgency, urgencyStated := ParseUrgency(req.Priority)
	class := c.class(req, prompt, urgency, urgencyStated)
	output := c.outputTokens(req.Workspace, class)
	if req.MaxTokens > 0 {
		output = min(output, req.MaxTokens)
	}
	if !urgencyStated {
		urgency = classUrgency(class)
	}
	policy := policyOf(preset, class)
	r := Result{
		Class:        class,
		PromptTokens: prompt,
		OutputTokens: output,
		Deadline:     now.Add(c.wait(req, policy)),
		Urgency:      urgency,
	}
	if policy.FirstToken > 0 {
		r.FirstTokenBy = now.Add(policy.FirstToken.Std())
	}
	return r
}

// Observe records a complete response: the size that was passed to Classify and the actual token counts.
func (c *Classifier) Observe(workspace waxwingpick.WorkspaceID, class waxwingpick.Class, bodyBytes, promptTokens, outputTokens int) {
	c.shardOf(workspace).observe(workspace, class, bodyBytes, promptTokens, outputTokens)
	c.overall.observe("", class, bodyBytes, promptTokens, outputTokens)
}

// Workspaces returns the number of workspaces with recorded token counts.
func (c *Classifier) Workspaces() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += s.history.Len()
		s.mu.Unlock()
	}
	return n
}

func (c *Classifier) class(req Request, prompt, urgency int, urgencyStated bool) waxwingpick.Class {
	if class, ok := req.Class.Get(); ok {
		return class
	}
	if req.NotRepeatable {
		return waxwingpick.ClassOrder
	}
	if prompt >= c.settings.longPrompt || req.MaxTokens >= c.settings.longOutput {
		return waxwingpick.ClassLong
	}
	if urgencyStated && urgency > DefaultUrgency {
		return waxwingpick.ClassLong
	}
	return waxwingpick.ClassQuick
}

func (c *Classifier) wait(req Request, policy config.ClassPolicy) time.Duration {
	if wait, ok := ParseWait(req.Prefer); ok {
		return min(max(wait, c.settings.minWait), c.settings.maxWait)
	}
	if policy.Deadline > 0 {
		return policy.Deadline.Std()
	}
	return c.settings.maxWait
}

func (c *Classifier) promptTokens(req Request) int {
	ratio, ok := c.shardOf(req.Workspace).ratio(req.Workspace)
	if !ok {
		ratio, ok = c.overall.ratio("")
	}
	if !ok {
		ratio = defaultBytesPerToken
	}
	return max(1, int(float64(req.BodyBytes)/ratio))
}

func (c *Classifier) outputTokens(workspace waxwingpick.WorkspaceID, class waxwingpick.Class) int {
	if n, ok := c.shardOf(workspace).output(workspace, class, c.settings.quantile); ok {
		return n
	}
	if n, ok := c.overall.output("", class, c.settings.quantile); ok {
		return n
	}
	if class == waxwingpick.ClassLong {
		return defaultOutputLongSize
	}
	return defaultOutputQuickSize
}

func (c *Classifier) shardOf(workspace waxwingpick.WorkspaceID) *shard {
	return &c.shards[xxhash.Sum64String(string(workspace))%shardCount]
}

func (s *shard) init(size int) error {
	l, err := simplelru.NewLRU[waxwingpick.WorkspaceID, *history](size, nil)
	if err != nil {
		return fmt.Errorf("workspace history: %w", err)
	}
	s.history = l
	return nil
}

func (s *shard) observe(workspace waxwingpick.WorkspaceID, class waxwingpick.Class, bodyBytes, promptTokens, outputTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.history.Get(workspace)
	if !ok {
		h = &history{}
		s.history.Add(workspace, h)
	}
	h.output[class].add(outputTokens)
	if bodyBytes <= 0 || promptTokens <= 0 {
		return
	}
	ratio := float64(bodyBytes) / float64(promptTokens)
	if h.bytesPerToken == 0 {
		h.bytesPerToken = ratio
		return
	}
	h.bytesPerToken += bytesWeight * (ratio - h.bytesPerToken)
}

func (s *shard) ratio(workspace waxwingpick.WorkspaceID) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.history.Get(workspace)
	if !ok || h.bytesPerToken == 0 {
		return 0, false
	}
	return h.bytesPerToken, true
}

func (s *shard) output(workspace waxwingpick.WorkspaceID, class waxwingpick.Class, quantile float64) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.history.Get(workspace)
	if !ok || h.output[class].total < minSamples {
		return 0, false
	}
	return h.output[class].quantile(quantile), true
}

func policyOf(preset config.Preset, class waxwingpick.Class) config.ClassPolicy {
	for _, p := range preset.Classes {
		if p.Class == class {
			return p
		}
	}
	return config.ClassPolicy{
		Class: class,
	}
}

func classUrgency(class waxwingpick.Class) int {
	switch class {
	case waxwingpick.ClassOrder:
		return 0
	case waxwingpick.ClassQuick:
		return 1
	case waxwingpick.ClassLong:
		return 5
	}
	return DefaultUrgency
}
