package routing_test

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
)

// An entry sends a request to the less loaded of two targets, and to the other one once the first is leaving.
func Example() {
	r, err := routing.New(routing.Entry("entry-1", "at-ost-a"))
	if err != nil {
		panic(err)
	}
	now := time.Unix(0, 0)
	r.SetTargets(now, []routing.TargetInfo{
		{
			ID:    "busy",
			Zone:  "at-ost-a",
			Model: "stundenplan",
		},
		{
			ID:    "idle",
			Zone:  "at-ost-a",
			Model: "stundenplan",
		},
	})
	r.Observe(now, routing.Report{
		Target: "busy",
		Load: waxwingpick.TargetLoad{
			Running:       30,
			Slots:         32,
			PrefillTokens: 40_000,
		},
	})
	r.Observe(now, routing.Report{
		Target: "idle",
		Load: waxwingpick.TargetLoad{
			Slots: 32,
		},
	})
	req := routing.Request{
		Model:        "stundenplan",
		PromptTokens: 500,
		OutputTokens: 100,
	}
	c, err := r.Choose(now, req)
	fmt.Println(c.Target, err)
	r.Done(now, r.Sent(now, c), routing.ResultLeaving)
	c, err = r.Choose(now, req)
	fmt.Println(c.Target, err)
	// Output:
	// idle <nil>
	// busy <nil>
}
