package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// part is one group of measurements.
type part struct {
	name    string
	measure func(w io.Writer) error
}

func parts() []part {
	return []part{
		newPart("records", measureRecords),
		newPart("entry", func(w io.Writer) error {
			return measureEntry(w, []int{12, 100, 300, 600})
		}),
		newPart("small", func(w io.Writer) error {
			return measureEntry(w, []int{2, 6, 12})
		}),
		newPart("entries", func(w io.Writer) error {
			return measureEntries(w, []int{1, 100, 200, 400})
		}),
		newPart("share", func(w io.Writer) error {
			return measureShare(w, []int{12, 100, 300, 600})
		}),
		newPart("holder", func(w io.Writer) error {
			return measureHolder(w, []int{12, 100, 300, 600})
		}),
		newPart("sidecar", measureSidecar),
		newPart("connections", measureConnections),
		newPart("sidecarList", measureSidecarList),
		newPart("stream", func(w io.Writer) error {
			return measureStreams(w, []int{8, 16, 32, 64, 80})
		}),
		newPart("path", measurePath),
		newPart("bounds", measureBounds),
		newPart("transfers", func(w io.Writer) error {
			return measureTransfers(w, []int{4, 32, 128})
		}),
	}
}

func newPart(name string, measure func(w io.Writer) error) part {
	return part{
		name:    name,
		measure: measure,
	}
}

func main() {
	if status, ok := runDaemon(os.Args); ok {
		os.Exit(int(status))
	}
	if ok, err := runRelay(os.Args); ok {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	wanted := flag.String("parts", "records,entry,small,entries,share,holder,sidecar,sidecarList,stream,path,transfers,bounds", "what is measured, separated by commas")
	flag.BoolVar(&overTLS, "tls", false, "have the processes under measurement and their peers talk over TLS")
	flag.Parse()
	for _, p := range parts() {
		if !strings.Contains(","+*wanted+",", ","+p.name+",") {
			continue
		}
		fmt.Printf("%s, load average before: %s\n", p.name, loadAverage())
		if err := p.measure(os.Stdout); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", p.name, err)
			os.Exit(1)
		}
	}
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
