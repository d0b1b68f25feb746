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
	// EnvPlatform holds the address of the platform's list.
	EnvPlatform = "WAXWINGPICK_PLATFORM"
	// EnvSettings holds the path of the client's settings file.
	EnvSettings = "WAXWINGPICK_SETTINGS"
	// asksAtOnce bounds the entries that are asked at the same time.
	asksAtOnce = 64
	// askTimeout bounds the wait for one entry, so that those that are cut off don't use up the others' time.
	askTimeout = 2 * time.Second
)

// fleet reaches the entries on the platform's list.
type fleet struct {
	env      Env
	platform string
	settings string
}

func (f *fleet) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.platform, "platform", "", "IP address and port of the platform's list; else "+EnvPlatform)
	flags.StringVar(&f.settings, "settings", "", "settings file with this client's certificate; else "+EnvSettings)
}

// client returns a client of the entries, with a certificate where settings name one.
func (f *fleet) client() (*entries.Client, error) {
	path := cmp.Or(f.settings, f.env.Getenv(EnvSettings))
	if path == "" {
		return entries.NewClient()
	}
	var s daemon.OperatorSettings
	if err := yaml.LoadSettings(path, &s); err != nil {
		return nil, fmt.Errorf("read the client's settings: %w", err)
	}
	log := logrus.New()
	log.SetOutput(f.env.Stderr)
	log.SetLevel(logrus.WarnLevel)
	credentials, err := s.Credentials(logrus.NewEntry(log))
	if err != nil {
		return nil, fmt.Errorf("read the client's certificate: %w", err)
	}
	return entries.NewClient(jsonrpc.WithCredentials(credentials))
}

// addr returns the list's address; empty where none is set.
func (f *fleet) addr() string {
	if f.platform != "" {
		return f.platform
	}
	return f.env.Getenv(EnvPlatform)
}

// entryStatus is what one entry says of itself.
type entryStatus struct {
	Entry waxwingpick.InstanceID       `json:"entry"`
	Zone  waxwingpick.AvailabilityZone `json:"zone"`
	// Problem says why the entry did not answer, or why it is not ready.
	Problem        string `json:"problem,omitempty"`
	Ready          bool   `json:"ready"`
	Running        int    `json:"running"`
	ConfigRevision int64  `json:"configRevision"`
	Preset         string `json:"preset"`
	// CertificateEnd is when the entry's certificate ends, CertificateDays how many days it lasts.
	CertificateEnd  time.Time `json:"certificateEnd,omitzero"`
	CertificateDays int       `json:"certificateDays,omitempty"`
}

// note tells an entry's problem and how long its certificate lasts.
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

// fleetStatus is what the entries say together.
type fleetStatus struct {
	Entries []entryStatus `json:"entries"`
	// Targets holds for each target the newest that an entry knows.
	Targets  []entries.TargetStatus `json:"targets"`
	Suspects []suspect.Record       `json:"suspects"`
	// OverRate adds up what the entries refused of each workspace.
	OverRate []quota.OverRate `json:"overRate"`
}

// list returns the entries on the platform's list.
func (f *fleet) list(ctx context.Context) ([]waxwingpick.Instance, error) {
	list, err := f.env.Platform(f.addr())
	if err != nil {
		return nil, usagef("%v", err)
	}
	instances, err := list.Instances(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the platform's list: %w", err)
	}
	return slices.DeleteFunc(instances, func(i waxwingpick.Instance) bool {
		return i.Kind != waxwingpick.KindEntry
	}), nil
}

// entryAnswer is what one entry answered.
type entryAnswer[T any] struct {
	instance waxwingpick.Instance
	value    T
	err      error
}

// askEach asks the entries side by side, a bounded number at once, and returns their answers in the same order.
func askEach[T any](ctx context.Context, instances []waxwingpick.Instance, ask func(ctx context.Context, addr string) (T, error)) []entryAnswer[T] {
	answers := make([]entryAnswer[T], len(instances))
	p := pool.New().WithMaxGoroutines(asksAtOnce)
	for i, instance := range instances {
		p.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			value, err := ask(ctx, instance.Control)
			answers[i] = entryAnswer[T]{
				instance: instance,
				value:    value,
				err:      err,
			}
		})
	}
	p.Wait()
	return answers
}

// ask asks every entry for itself and as many as it takes for the targets.
func (f *fleet) ask(ctx context.Context) (fleetStatus, error) {
	instances, err := f.list(ctx)
	if err != nil {
		return fleetStatus{}, err
	}
	client, err := f.client()
	if err != nil {
		return fleetStatus{}, err
	}
	defer client.Close()
	status := func(asked []waxwingpick.Instance, req entries.StatusRequest) []entryAnswer[entries.Status] {
		return askEach(ctx, asked, func(ctx context.Context, addr string) (entries.Status, error) {
			return client.Status(ctx, addr, req)
		})
	}
	var s fleetStatus
	var up []waxwingpick.Instance
	for _, a := range status(instances, entries.StatusRequest{
		WithoutTargets: true,
	}) {
		s.addEntry(a)
		if a.err == nil {
			up = append(up, a.instance)
		}
	}
	first, rest := oneOfEachZone(up)
	s.addTargets(status(first, entries.StatusRequest{}))
	// Each entry has reports of a sample of the targets only: the others are asked for what is still unknown.
	for missing := s.unreported(); len(missing) > 0 && len(rest) > 0; missing = s.unreported() {
		n := min(asksAtOnce, len(rest))
		s.addTargets(status(rest[:n], entries.StatusRequest{
			Reported: missing,
		}))
		rest = rest[n:]
	}
	return s, nil
}

// oneOfEachZone returns the first entry of each availability zone, and the others.
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

// addEntry takes in what one entry says of itself.
func (s *fleetStatus) addEntry(a entryAnswer[entries.Status]) {
	e := entryStatus{
		Entry:          a.instance.ID,
		Zone:           a.instance.Zone,
		Problem:        a.value.NotReady,
		Ready:          a.value.Ready,
		Running:        a.value.Running,
		ConfigRevision: a.value.ConfigRevision,
		Preset:         a.value.Preset,
		CertificateEnd: a.value.CertificateEnd,
	}
	if !e.CertificateEnd.IsZero() {
		e.CertificateDays = daysBetween(a.value.At, e.CertificateEnd)
	}
	if a.err != nil {
		e.Problem = a.err.Error()
	}
	s.Entries = append(s.Entries, e)
	for _, r := range a.value.Suspects {
		s.addSuspect(r)
	}
	for _, o := range a.value.OverRate {
		s.addOverRate(o)
	}
}

func (s *fleetStatus) addTargets(answers []entryAnswer[entries.Status]) {
	for _, a := range answers {
		for _, t := range a.value.Targets {
			s.addTarget(t)
		}
	}
}

// unreported returns the targets of which no report is known yet.
func (s *fleetStatus) unreported() []waxwingpick.TargetID {
	var missing []waxwingpick.TargetID
	for _, t := range s.Targets {
		if !t.Known {
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
	known := s.Targets[i]
	if t.Known && (!known.Known || t.ConfigRevision > known.ConfigRevision) {
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

// inForce counts the processes that act under a revision, and all that answered.
func (s fleetStatus) inForce(revision int64) (current, answered int) {
	count := func(known bool, has int64) {
		if !known {
			return
		}
		answered++
		if has >= revision {
			current++
		}
	}
	for _, e := range s.Entries {
		count(e.ConfigRevision > 0, e.ConfigRevision)
	}
	for _, t := range s.Targets {
		count(t.Known, t.ConfigRevision)
	}
	return current, answered
}

// newest returns the newest revision that a process told.
func (s fleetStatus) newest() int64 {
	var newest int64
	for _, e := range s.Entries {
		newest = max(newest, e.ConfigRevision)
	}
	for _, t := range s.Targets {
		newest = max(newest, t.ConfigRevision)
	}
	return newest
}

func writeFleet(w io.Writer, s fleetStatus, revision int64) {
	revision = max(revision, s.newest())
	fmt.Fprintln(w)
	row(w, "ENTRY", "ZONE", "READY", "RUNNING", "CONFIG", "PRESET", "NOTE")
	for _, e := range s.Entries {
		row(w, e.Entry, e.Zone, mark(e.Ready), e.Running, e.ConfigRevision, e.Preset, e.note())
	}
	fmt.Fprintln(w)
	row(w, "TARGET", "SERVICE", "ZONE", "ROLE", "RUNNING", "QUEUED", "CONFIG", "NOTE")
	for _, t := range s.Targets {
		row(w, t.Target, t.Service, t.Zone, t.Active.Role, t.Load.Running, t.Load.Queued, t.ConfigRevision, targetNote(t))
	}
	current, answered := s.inForce(revision)
	fmt.Fprintf(w, "\nrevision %d is in force at %d of %d processes that answered\n", revision, current, answered)
	writeOverRate(w, s.OverRate)
	if len(s.Suspects) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, "CRASH SUSPECT", "CRASHES", "LIFTED")
	for _, r := range s.Suspects {
		row(w, r.Fingerprint, len(r.Crashes), date(r.Lifted))
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
	case !t.Known:
		return "no report"
	case t.Leaving:
		return "leaving"
	case t.Ejected:
		return "ejected"
	case t.Active != t.Wanted:
		return "changing"
	}
	return ""
}
