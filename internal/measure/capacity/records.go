package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/core/burn"
	"waxwingpick/core/classify"
	"waxwingpick/core/plan"
	"waxwingpick/core/suspect"
	"waxwingpick/io/operator"
	"waxwingpick/io/sidecar"
)

const megabyte = 1_000_000

// measureRecords prints the encoded sizes of records and messages, the time to encode KV cache, and the memory of the
// classifier.
func measureRecords(w io.Writer) error {
	plans := &series{y: "plan record: bytes", x: "targets"}
	list := &series{y: "platform's list: bytes", x: "rows"}
	for _, n := range []int{12, 100, 300, 600} {
		size, err := encoded(samplePlan(n))
		if err != nil {
			return err
		}
		plans.add(float64(n), size)
		if size, err = encoded(sampleList(n)); err != nil {
			return err
		}
		list.add(float64(n), size)
	}
	probes := &series{y: "probe's request and answer: bytes without framing", x: "suspects known"}
	for _, n := range []int{0, 10, 100, 1000} {
		size, err := probeSize(n)
		if err != nil {
			return err
		}
		probes.add(float64(n), size)
	}
	statuses := &series{y: "an entry's status: bytes", x: "targets"}
	for _, n := range []int{12, 100, 300, 600} {
		size, err := encoded(sampleStatus(n))
		if err != nil {
			return err
		}
		statuses.add(float64(n), size)
	}
	burns := &series{y: "an entry's burn counts, one event each: bytes", x: "workspaces"}
	for _, n := range []int{64, 256, 1024} {
		size, err := burnSize(n)
		if err != nil {
			return err
		}
		burns.add(float64(n), size)
	}
	exports := &series{y: "KV cache, encode and decode once: s", x: "MB"}
	for _, n := range []int{1, 4, 16, 48} {
		took, err := exportTime(n * megabyte)
		if err != nil {
			return err
		}
		exports.add(float64(n), took.Seconds())
	}
	memory := &series{y: "classifier: heap bytes", x: "workspaces"}
	for _, n := range []int{1000, 2000, 5800} {
		size, err := classifierHeap(n)
		if err != nil {
			return err
		}
		memory.add(float64(n), size)
	}
	return write(w, plans, list, probes, statuses, burns, exports, memory)
}

func encoded(v any) (float64, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	return float64(len(data)), nil
}

func samplePlan(n int) plan.Record {
	rec := plan.Record{
		Service:        service,
		Revision:       40_000,
		ChangeID:       uuid.NewString(),
		Epoch:          300,
		Holder:         "entry-0000",
		ConfigRevision: 20_000,
		NextOrder:      40_000,
	}
	for i := range n {
		row := targetRow(i, "", "")
		rec.Targets = append(rec.Targets, plan.Target{
			ID:       row.Target,
			Instance: row.ID,
			Zone:     row.Zone,
			Order: waxwingpick.EngineOrder{
				Config: sampleReport(i).Active,
			},
		})
	}
	return rec
}

func sampleList(n int) []waxwingpick.Instance {
	rows := make([]waxwingpick.Instance, 0, n)
	for i := range n {
		rows = append(rows, targetRow(i, "10.64.100.100:7010", "10.64.100.100:7011"))
	}
	return rows
}

// probeSize returns the size of a probe and its response, in bytes, when both sides hold the same n suspects.
func probeSize(n int) (float64, error) {
	set, err := suspect.NewSet()
	if err != nil {
		return 0, fmt.Errorf("create set: %w", err)
	}
	now := time.Now()
	for i := range n {
		set.Crashed(now, suspect.Crash{
			ID: uuid.NewString(),
			At: now,
		}, []suspect.Fingerprint{suspect.Fingerprint(i)})
	}
	report := sampleReport(0)
	req := sidecar.ProbeRequest{
		SuspectsSum: set.Sum(now),
		RecordsSum:  1 << 63,
		BaseSum:     report.Sum(),
	}
	request, err := encoded(req)
	if err != nil {
		return 0, err
	}
	response, err := encoded(req.Response(report, set.Sum(now), 1<<63))
	return request + response, err
}

func sampleStatus(n int) operator.Status {
	status := operator.Status{
		Entry:          "entry-0000",
		At:             time.Now(),
		Ready:          true,
		ConfigRevision: 20_000,
		Preset:         "ordinary",
	}
	for i := range n {
		row := targetRow(i, "", "")
		report := sampleReport(i)
		status.Targets = append(status.Targets, operator.TargetStatus{
			Service:        service,
			Target:         row.Target,
			Instance:       row.ID,
			Zone:           row.Zone,
			Active:         report.Active,
			Desired:        report.Active,
			HasReport:      true,
			Load:           report.Load,
			ConfigRevision: 20_000,
		})
	}
	return status
}

func burnSize(workspaces int) (float64, error) {
	r, err := burn.New(burn.WithBound(burn.DimensionWorkspace, 4*workspaces))
	if err != nil {
		return 0, fmt.Errorf("create recorder: %w", err)
	}
	now := time.Now()
	for i := range workspaces {
		r.Record(now, burn.Event{
			Workspace: waxwingpick.WorkspaceID(fmt.Sprintf("workspace-%04d", i)),
		})
	}
	return encoded(r.Snapshot(now))
}

// exportTime returns the time to encode and decode exported KV cache, which every process on the path does.
func exportTime(size int) (time.Duration, error) {
	export := waxwingpick.KVExport{
		Fingerprint: uuid.NewString(),
		Tokens:      size,
		Data:        make([]byte, size),
	}
	started := time.Now()
	data, err := json.Marshal(export)
	if err != nil {
		return 0, fmt.Errorf("encode KV cache: %w", err)
	}
	if err := json.Unmarshal(data, &export); err != nil {
		return 0, fmt.Errorf("decode KV cache: %w", err)
	}
	return time.Since(started), nil
}

func classifierHeap(n int) (float64, error) {
	before := heap()
	c, err := classify.New()
	if err != nil {
		return 0, fmt.Errorf("create classifier: %w", err)
	}
	for i := range n {
		id := waxwingpick.WorkspaceID(fmt.Sprintf("workspace-%04d", i))
		c.Observe(id, waxwingpick.ClassQuick, 2_000, 500, 100)
		c.Observe(id, waxwingpick.ClassLong, 80_000, 20_000, 900)
	}
	size := heap() - before
	runtime.KeepAlive(c)
	return size, nil
}

// heap returns the size of the live heap in bytes, after garbage collection.
func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
