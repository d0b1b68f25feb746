package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"waxwingpick"
	"waxwingpick/core/quota"
	"waxwingpick/internal/quotafleet"
)

const (
	perSecond = 20
	burst     = 2 * perSecond
	// Size and load of the largest planned fleet.
	planEntries    = 400
	planWorkspaces = 5800
	planRequests   = 2700
	planSeconds    = 300
	// One in busyShare workspaces is busy; the busy ones send half of the requests.
	busyShare = 10
)

func main() {
	measureShares()
	measurePlanned()
	if err := measureCost(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measureShares prints the admitted fraction of one workspace's rate.
func measureShares() {
	fmt.Println("| entries | through one of them | demand, times the rate | admitted, times the rate | refused, part of the demand | asks/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, entries := range []int{3, 50, planEntries} {
		for _, throughOne := range []float64{0, 0.5, 1} {
			for _, demand := range []float64{0.5, 0.9, 2, 10} {
				measureShare(entries, throughOne, demand)
			}
		}
	}
}

func measureShare(entries int, throughOne, demand float64) {
	f := quotafleet.New(entries, quota.NewLimit(perSecond, burst))
	f.Offer(quotafleet.Load{
		Workspace:          "studio-1",
		RateMultiple:       demand,
		FirstEntryFraction: throughOne,
	})
	admitted, refused := float64(f.Admitted()), float64(f.Refused())
	seconds := quotafleet.Measured.Seconds()
	fmt.Printf("| %d | %.1f | %.1f | %.3f | %.2f%% | %.1f |\n", entries, throughOne, demand,
		admitted/perSecond/seconds, 100*refused/(admitted+refused), float64(f.TokenRequests())/seconds)
}

// measurePlanned prints the rate of requests for quota in the largest planned fleet.
func measurePlanned() {
	f := quotafleet.New(planEntries, quota.NewLimit(perSecond, burst))
	r := rand.New(rand.NewPCG(1, 1))
	for range planRequests * planSeconds {
		f.Advance(time.Second / planRequests)
		workspaces := planWorkspaces
		if r.IntN(2) == 0 {
			workspaces /= busyShare
		}
		id := waxwingpick.WorkspaceID(fmt.Sprintf("workspace-%d", r.IntN(workspaces)))
		f.Request(f.Entries()[r.IntN(planEntries)], id)
		f.Settle()
	}
	fmt.Printf("\n%d entries, %d workspaces, %d requests/s: %.1f asks/s, %d requests refused, %d workspaces held by an entry\n",
		planEntries, planWorkspaces, planRequests, float64(f.TokenRequests())/planSeconds, f.Refused(), f.Entries()[0].TrackedWorkspaces())
}
