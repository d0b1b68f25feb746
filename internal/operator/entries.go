package operator

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"waxwingpick"
	"waxwingpick/core/quota"
	"waxwingpick/core/suspect"
	"waxwingpick/internal/daemon"
	"waxwingpick/io/jsonrpc"
	entries "waxwingpick/io/operator"
	"waxwingpick/io/yaml"
)

const (
	// EnvPlatform is the variable for the address of the platform's list of instances.
	EnvPlatform = "WAXWINGPICK_PLATFORM"
	// EnvSettings is the variable for the path of the client's settings file.
	EnvSettings = "WAXWINGPICK_SETTINGS"
	// maxConcurrentRequests limits the number of concurrent requests to entries.
	maxConcurrentRequests = 64
	// requestTimeout limits the wait for one entry, so that unreachable entries do not delay requests to the others.
	requestTimeout = 2 * time.Second
)

// fleetClient holds the flags for reaching entries, and sends requests to the entries on the platform's list.
type fleetClient struct {
	env      Env
	platform string
	settings string
}

func (f *fleetClient) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.platform, "platform", "", "IP address and port of the platform's list; else "+EnvPlatform)
	flags.StringVar(&f.settings, "settings", "", "settings file with this client's certificate; else "+EnvSettings)
}

// client returns a client for the entries. It has the certificate from the settings file, if a file is given.
func (f *fleetClient) client() (*entries.Client, error) {
	path := cmp.Or(f.settings, f.env.Getenv(EnvSettings))
	if path == "" {
		return entries.NewClient()
	}
	var s daemon.OperatorSettings
	if err := yaml.LoadSettings(path, &s); err != nil {
		return nil, fmt.Errorf("read client settings: %w", err)
	}
	log := logrus.New()
	log.SetOutput(f.env.Stderr)
	log.SetLevel(logrus.WarnLevel)
	credentials, err := s.Credentials(logrus.NewEntry(log))
	if err != nil {
		return nil, fmt.Errorf("read client certificate: %w", err)
	}
	return entries.NewClient(jsonrpc.WithCredentials(credentials))
}

// addr returns the address of the platform's list. It is empty if none is set.
func (f *fleetClient) addr() string {
	if f.platform != "" {
		return f.platform
	}
	return f.env.Getenv(EnvPlatform)
}

// entryStatus is the status of one entry.
type entryStatus struct {
	Entry waxwingpick.InstanceID       `json:"entry"`
	Zone  waxwingpick.AvailabilityZone `json:"zone"`
	// Problem is the reason why the entry did not respond or is not ready.
	Problem        string `json:"problem,omitempty"`
	Ready          bool   `json:"ready"`
	Running        int    `json:"running"`
	ConfigRevision int64  `json:"configRevision"`
	Preset         string `json:"preset"`
	// CertificateEnd is the expiry time of the entry's certificate, CertificateDays the number of whole days until then.
	CertificateEnd  time.Time `json:"certificateEnd,omitzero"`
	CertificateDays int       `json:"certificateDays,omitempty"`
}

// note returns the entry's problem and the remaining days of its certificate.
func (e entryStatus) note() string {
	notes := make([]string, 0, 2)
	if e.Problem != "" {
		notes = append(notes, e.Problem)
	}
	if !e.CertificateEnd.IsZero() {
		notes = append(notes, fmt.Sprintf("certificate ends in %d days", e.CertificateDays))
	}
	return strings.Join(notes, "; ")
}

// fleetStatus is the merged status of all entries.
type fleetStatus struct {
	Entries []entryStatus `json:"entries"`
	// Targets contains for each target the report with the newest configuration revision.
	Targets  []entries.TargetStatus `json:"targets"`
	Suspects []suspect.Record       `json:"suspects"`
	// OverRate contains the workspaces over their rate, each with the total number of requests that the entries refused.
	OverRate []quota.OverRate `json:"overRate"`
}

// list returns the entries on the platform's list.
func (f *fleetClient) list(ctx context.Context) ([]waxwingpick.Instance, error) {
	list, err := f.env.Platform(f.addr())
	if err != nil {
		return nil, usagef("%v", err)
	}
	instances, err := list.Instances(ctx)
	if err != nil {
		return nil, fmt.Errorf("read list of instances from platform: %w", err)
	}
	return slices.DeleteFunc(instances, func(i waxwingpick.Instance) bool {
		return i.Kind != waxwingpick.KindEntry
	}), nil
}

// entryResponse is the response of one entry.
type entryResponse[T any] struct {
	instance waxwingpick.Instance
	value    T
	err      error
}

// requestEach sends a request to each entry, with bounded concurrency, and returns the responses in the order of the
// instances.
func requestEach[T any](ctx context.Context, instances []waxwingpick.Instance, request func(ctx context.Context, addr string) (T, error)) []entryResponse[T] {
	responses := make([]entryResponse[T], len(instances))
	p := pool.New().WithMaxGoroutines(maxConcurrentRequests)
	for i, instance := range instances {
		p.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			value, err := request(ctx, instance.Control)
			responses[i] = entryResponse[T]{
				instance: instance,
				value:    value,
				err:      err,
			}
		})
	}
	p.Wait()
	return responses
}

// readStatus requests the status of every entry itself. It requests the status of targets from as many entries as needed
// to get a report of each target.
func (f *fleetClient) readStatus(ctx context.Context) (fleetStatus, error) {
	instances, err := f.list(ctx)
	if err != nil {
		return fleetStatus{}, err
	}
	client, err := f.client()
	if err != nil {
		return fleetStatus{}, err
	}
	defer client.Close()
	status := func(recipients []waxwingpick.Instance, req entries.StatusRequest) []entryResponse[entries.Status] {
		return requestEach(ctx, recipients, func(ctx context.Context, addr string) (entries.Status, error) {
			return client.Status(ctx, addr, req)
		})
	}
	var s fleetStatus
	var reachable []waxwingpick.Instance
	for _, resp := range status(instances, entries.StatusRequest{
		WithoutTargets: true,
	}) {
		s.addEntry(resp)
		if resp.err == nil {
			reachable = append(reachable, resp.instance)
		}
	}
	first, rest := oneOfEachZone(reachable)
	s.addTargets(status(first, entries.StatusRequest{}))
	// Each entry has reports of only a sample of the targets. The missing reports are requested from the remaining entries.
	for missing := s.unreported(); len(missing) > 0 && len(rest) > 0; missing = s.unreported() {
		n := min(maxConcurrentRequests, len(rest))
		s.addTargets(status(rest[:n], entries.StatusRequest{
			Reported: missing,
		}))
		rest = rest[n:]
	}
	return s, nil
}

// oneOfEachZone returns the first entry of each availability zone, and the remaining entries.
func oneOfEachZone(instances []waxwingpick.Instance) (first, rest []waxwingpick.Instance) {
	zones := waxwingpick.NewSet[waxwingpick.AvailabilityZone]()
	for _, i := range instances {
		if zones.Has(i.Zone) {
			rest = append(rest, i)
			continue
		}
		zones.Add(i.Zone)
		first = append(first, i)
	}
	return first, rest
}

// addEntry adds the status of one entry, without its targets.
func (s *fleetStatus) addEntry(resp entryResponse[entries.Status]) {
	e := entryStatus{
		Entry:          resp.instance.ID,
		Zone:           resp.instance.Zone,
		Problem:        resp.value.NotReady,
		Ready:          resp.value.Ready,
		Running:        resp.value.Running,
		ConfigRevision: resp.value.ConfigRevision,
		Preset:         resp.value.Preset,
		CertificateEnd: resp.value.CertificateEnd,
	}
	if !e.CertificateEnd.IsZero() {
		e.CertificateDays = daysBetween(resp.value.At, e.CertificateEnd)
	}
	if resp.err != nil {
		e.Problem = resp.err.Error()
	}
	s.Entries = append(s.Entries, e)
	for _, r := range resp.value.Suspects {
		s.addSuspect(r)
	}
	for _, o := range resp.value.OverRate {
		s.addOverRate(o)
	}
}

func (s *fleetStatus) addTargets(responses []entryResponse[entries.Status]) {
	for _, resp := range responses {
		for _, t := range resp.value.Targets {
			s.addTarget(t)
		}
	}
}

// unreported returns the targets without a report.
func (s *fleetStatus) unreported() []waxwingpick.TargetID {
	var missing []waxwingpick.TargetID
	for _, t := range s.Targets {
		if !t.HasReport {
			missing = append(missing, t.Target)
		}
	}
	return missing
}

func (s *fleetStatus) addTarget(t entries.TargetStatus) {
	i, found := slices.BinarySearchFunc(s.Targets, t, func(a, b entries.TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	if !found {
		s.Targets = slices.Insert(s.Targets, i, t)
		return
	}
	current := s.Targets[i]
	if t.HasReport && (!current.HasReport || t.ConfigRevision > current.ConfigRevision) {
		s.Targets[i] = t
	}
}

func (s *fleetStatus) addSuspect(r suspect.Record) {
	i, found := slices.BinarySearchFunc(s.Suspects, r, func(a, b suspect.Record) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	if !found {
		s.Suspects = slices.Insert(s.Suspects, i, r)
		return
	}
	if len(r.Crashes) > len(s.Suspects[i].Crashes) {
		s.Suspects[i] = r
	}
}

func (s *fleetStatus) addOverRate(o quota.OverRate) {
	i, found := slices.BinarySearchFunc(s.OverRate, o, func(a, b quota.OverRate) int {
		return cmp.Compare(a.Workspace, b.Workspace)
	})
	if !found {
		s.OverRate = slices.Insert(s.OverRate, i, o)
		return
	}
	s.OverRate[i].Refused += o.Refused
}

// inForce returns the number of processes that have applied at least the revision, and the number that responded.
func (s fleetStatus) inForce(revision int64) (current, responded int) {
	count := func(reported bool, applied int64) {
		if !reported {
			return
		}
		responded++
		if applied >= revision {
			current++
		}
	}
	for _, e := range s.Entries {
		count(e.ConfigRevision > 0, e.ConfigRevision)
	}
	for _, t := range s.Targets {
		count(t.HasReport, t.ConfigRevision)
	}
	return current, responded
}

// newestRevision returns the newest revision that a process has reported.
func (s fleetStatus) newestRevision() int64 {
	var newestRevision int64
	for _, e := range s.Entries {
		newestRevision = max(newestRevision, e.ConfigRevision)
	}
	for _, t := range s.Targets {
		newestRevision = max(newestRevision, t.ConfigRevision)
	}
	return newestRevision
}

func writeFleet(w io.Writer, s fleetStatus, revision int64) {
	revision = max(revision, s.newestRevision())
	fmt.Fprintln(w)
	row(w, "ENTRY", "ZONE", "READY", "RUNNING", "CONFIG", "PRESET", "NOTE")
	for _, e := range s.Entries {
		row(w, e.Entry, e.Zone, yesOrEmpty(e.Ready), e.Running, e.ConfigRevision, e.Preset, e.note())
	}
	fmt.Fprintln(w)
	row(w, "TARGET", "SERVICE", "ZONE", "ROLE", "RUNNING", "QUEUED", "CONFIG", "NOTE")
	for _, t := range s.Targets {
		row(w, t.Target, t.Service, t.Zone, t.Active.Role, t.Load.Running, t.Load.Queued, t.ConfigRevision, targetNote(t))
	}
	current, responded := s.inForce(revision)
	fmt.Fprintf(w, "\nrevision %d is in force at %d of %d processes that answered\n", revision, current, responded)
	writeOverRate(w, s.OverRate)
	if len(s.Suspects) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, "CRASH SUSPECT", "CRASHES", "LIFTED")
	for _, r := range s.Suspects {
		row(w, r.Fingerprint, len(r.Crashes), formatTime(r.Lifted))
	}
}

func writeOverRate(w io.Writer, over []quota.OverRate) {
	if len(over) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, "WORKSPACE OVER ITS RATE", "REFUSED")
	for _, o := range over {
		row(w, o.Workspace, o.Refused)
	}
}

func targetNote(t entries.TargetStatus) string {
	switch {
	case !t.HasReport:
		return "no report"
	case t.Leaving:
		return "leaving"
	case t.Ejected:
		return "ejected"
	case t.Active != t.Desired:
		return "changing"
	}
	return ""
}
