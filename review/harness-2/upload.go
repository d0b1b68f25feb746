package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// uploads is the number of bookings with a body, and uploadInterval the time between two of them.
	uploads        = 60
	uploadInterval = 50 * time.Millisecond
	boundary       = "xYzZy7f3a91c2"
	// Media types of the bodies. The second one is that of the run without trouble.
	typeForm  = "multipart/form-data; boundary=" + boundary
	typeBytes = "application/octet-stream"
)

// form returns the n-th body: a form with a text and a file, as browsers and libraries send them.
func form(n int) []byte {
	var b bytes.Buffer
	part := func(head, content string) {
		fmt.Fprintf(&b, "--%s\r\n%s\r\n\r\n%s\r\n", boundary, head, content)
	}
	part(`Content-Disposition: form-data; name="receipt"; filename="receipt.pdf"`+"\r\nContent-Type: application/pdf\r\nContent-Language: de-AT",
		fmt.Sprintf("%%PDF-1.7 deposit of booking %d", n))
	part(`Content-Disposition: form-data; name="course"`, fmt.Sprintf("salsa-%d", n))
	part(`Content-Disposition: form-data; name="note"`+"\r\nContent-Type: text/plain; charset=utf-8", "two trial classes")
	fmt.Fprintf(&b, "--%s--\r\n", boundary)
	return b.Bytes()
}

// changedBodies sends bookings whose body is a form, with a length and in chunks, and compares it with what the replica that ran
// the booking has read. Without trouble the same bytes have another media type.
func changedBodies(w *world, trouble bool) error {
	if _, err := w.put("op/config", configuration(7)); err != nil {
		return err
	}
	r, err := startReplica("i-0001", "studio-app", "at-ost-a", address(101), bookingWork)
	if err != nil {
		return err
	}
	defer r.exit()
	if _, err := w.put(r.key(), r.entry("ready")); err != nil {
		return err
	}
	g, err := w.startGateway(1, "at-ost-a", w.store.Addr())
	if err != nil {
		return err
	}
	mediaType := typeBytes
	if trouble {
		mediaType = typeForm
	}
	sent := make(map[string][]byte)
	for n := range uploads {
		id := fmt.Sprintf("%s-%d", g.name, n)
		sent[id] = form(n)
		if err := w.upload(g, id, mediaType, sent[id], n%2 == 1); err != nil {
			return err
		}
		time.Sleep(uploadInterval)
	}
	return w.judgeBodies(r, sent)
}

// upload sends one booking with a body.
func (w *world) upload(g *gateway, id, mediaType string, body []byte, chunks bool) error {
	sent := time.Now()
	var reader io.Reader = bytes.NewReader(body)
	if chunks {
		// net/http does not know the length of such a reader.
		reader = io.MultiReader(reader)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front+prefix+"2f", reader)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", mediaType)
	req.Header.Set("Waxwingpick-Request-Id", id)
	req.Header.Set("Waxwingpick-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send %s: %w", id, err)
	}
	defer response.Body.Close()
	w.logAt(sent, "client sends %s, %s, %d bytes, chunks %t: answer %d", id, mediaType, len(body), chunks, response.StatusCode)
	return nil
}

// judgeBodies returns errBroken if a replica ran a request with another body than the client's.
func (w *world) judgeBodies(r *replica, sent map[string][]byte) error {
	broken, ran := 0, 0
	for _, a := range r.after(time.Time{}) {
		if !a.ran {
			continue
		}
		ran++
		if bytes.Equal(a.body, sent[a.id]) {
			continue
		}
		broken++
		w.logAt(a.at, "UNASKED: %s runs with another body: %d bytes sent, %d received", a.id, len(sent[a.id]), len(a.body))
		if broken == 1 {
			w.logAt(a.at, "sent     %q", sent[a.id])
			w.logAt(a.at, "received %q", a.body)
		}
	}
	w.log("%d requests ran, %d with another body", ran, broken)
	if broken > 0 {
		return fmt.Errorf("UNASKED: %d requests: %w", broken, errBroken)
	}
	return nil
}
