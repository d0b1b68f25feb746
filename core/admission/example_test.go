package admission_test

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
)

// A target with one slot runs one request, queues the next and refuses one that cannot meet its deadline.
func Example() {
	c, err := admission.New(admission.Slots(1), admission.Rates(10_000, 20*time.Millisecond))
	if err != nil {
		panic(err)
	}
	now := time.Unix(0, 0)
	offer := func(id admission.AttemptID, deadline time.Duration) {
		d := c.Offer(now, admission.Request{
			ID:           id,
			Class:        waxwingpick.ClassQuick,
			PromptTokens: 1000,
			OutputTokens: 50,
			Deadline:     now.Add(deadline),
		})
		fmt.Println(id, d.Verdict)
	}
	offer("first", 5*time.Second)
	offer("second", 5*time.Second)
	offer("late", time.Second)
	now = now.Add(time.Second)
	c.Done(now, "first", 50)
	for {
		d, ok := c.Next(now)
		if !ok {
			break
		}
		fmt.Println(d.ID, d.Verdict)
	}
	// Output:
	// first run
	// second queued
	// late refused
	// second run
}
