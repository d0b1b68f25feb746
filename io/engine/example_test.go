package engine_test

import (
	"context"
	"fmt"
	"log"

	"waxwingpick"
	standin "waxwingpick/internal/standin/engine"
	"waxwingpick/io/engine"
)

// A stream breaks after its first event and is resumed from the next one.
func Example() {
	e, err := standin.New()
	if err != nil {
		log.Fatal(err)
	}
	defer e.Close()
	e.SetFaults(standin.Faults{
		CutAfter:   1,
		CutStreams: 1,
	})
	client, err := engine.New(e.Addr())
	if err != nil {
		log.Fatal(err)
	}
	defer client.Close()

	ctx := context.Background()
	stream, err := client.Generate(ctx, waxwingpick.GenerateRequest{
		StreamID: "attempt-1",
		Path:     "/v1/completions",
		Body:     []byte(`{"prompt":"who swapped salsa","max_tokens":3,"stream":true}`),
	})
	if err != nil {
		log.Fatal(err)
	}
	next := int64(0)
	for {
		event, err := stream.Next()
		if err != nil {
			fmt.Println("broken at", next)
			stream.Close()
			stream, err = client.Resume(ctx, "attempt-1", next)
			if err != nil {
				log.Fatal(err)
			}
			continue
		}
		if event.Last {
			break
		}
		fmt.Println("event", event.Offset)
		next = event.Offset + 1
	}
	stream.Close()
	// Output:
	// event 0
	// broken at 1
	// event 1
	// event 2
}
