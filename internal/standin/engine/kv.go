package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"waxwingpick"
)

var (
	errNoMemory     = eris.New("no memory pieces are free")
	errWrongCache   = eris.New("the KV cache is of another model, version or prompt")
	errUnknownCache = eris.New("no such KV cache")
	errBusy         = eris.New("the engine takes no work now")
)

// kvData is the stand-in's KV cache: the text that it stands for.
type kvData struct {
	Prompt    string `json:"prompt"`
	Generated int    `json:"generated"`
}

// handle is KV cache that is held for a later request; pending until it has been fetched.
type handle struct {
	data    kvData
	pieces  int
	pending bool
	stop    func()
}

func (e *Engine) fingerprint(d kvData) string {
	sum := xxhash.Sum64String(d.Prompt)
	return fmt.Sprintf("%s/%016x/%d", e.fingerprintPrefix(), sum, d.Generated)
}

func (e *Engine) fingerprintPrefix() string {
	return strings.Join([]string{e.active.Model, e.active.Adapter, e.active.Version}, "/")
}

// encode returns the data of an export, whose end is blank up to the engine's size for each token.
func (e *Engine) encode(d kvData) []byte {
	// Two plain fields always encode.
	data, _ := json.Marshal(d)
	missing := d.tokens()*e.cfg.kvTokenBytes - len(data)
	if missing > 0 {
		data = append(data, bytes.Repeat([]byte{' '}, missing)...)
	}
	return data
}

func (d kvData) tokens() int {
	return CountTokens(d.Prompt) + d.Generated
}

// exportOf exports KV cache that is held under a name, as a reference to it or as the data.
func (e *Engine) exportOf(id string, d kvData, byReference bool) waxwingpick.KVExport {
	export := waxwingpick.KVExport{
		Fingerprint: e.fingerprint(d),
		Tokens:      d.tokens(),
	}
	data := e.encode(d)
	if byReference && e.cfg.directKV {
		export.Reference = e.offerKV(id, data)
		return export
	}
	export.Data = data
	return export
}

// exportStream exports the KV cache of a running stream or of a prefill.
func (e *Engine) exportStream(id string, byReference bool) (waxwingpick.KVExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.held(id)
	if !ok {
		return waxwingpick.KVExport{}, fmt.Errorf("export %s: %w", id, errUnknownCache)
	}
	return e.exportOf(id, data, byReference), nil
}

// held returns the KV cache of a prefill or of a running stream.
func (e *Engine) held(id string) (kvData, bool) {
	if h, ok := e.handles[id]; ok {
		return h.data, !h.pending
	}
	s, ok := e.streams[id]
	if !ok || s.phase != phaseRunning {
		return kvData{}, false
	}
	return kvData{
		Prompt:    s.prompt,
		Generated: s.delivered + s.emitted,
	}, true
}

// importKV holds exported KV cache until a request takes it; memory is taken before anything is fetched.
func (e *Engine) importKV(id string, export waxwingpick.KVExport) (string, error) {
	h, err := e.reserve(id, export)
	if err != nil {
		return "", err
	}
	data, err := e.dataOf(export)
	return id, e.settle(id, h, data, export, err)
}

// reserve holds the memory for an export.
func (e *Engine) reserve(id string, export waxwingpick.KVExport) (*handle, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusesWork() {
		return nil, errBusy
	}
	if !strings.HasPrefix(export.Fingerprint, e.fingerprintPrefix()+"/") {
		return nil, fmt.Errorf("import %s: %w", export.Fingerprint, errWrongCache)
	}
	if e.barred.Contains(id) {
		return nil, errCancelled
	}
	if _, used := e.handles[id]; used {
		return nil, errRepeatedStream
	}
	return e.hold(id, export.Tokens)
}

// settle fills a reserved handle, or frees it where the data did not come, is another's, or is no longer wanted.
func (e *Engine) settle(id string, h *handle, data []byte, export waxwingpick.KVExport, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handles[id] != h {
		return errCancelled
	}
	if err == nil && json.Unmarshal(data, &h.data) != nil {
		err = fmt.Errorf("decode KV cache: %w", errWrongCache)
	}
	if err == nil && (export.Fingerprint != e.fingerprint(h.data) || export.Tokens != h.data.tokens()) {
		err = fmt.Errorf("import %s: %w", export.Fingerprint, errWrongCache)
	}
	if err != nil {
		e.free(id)
		return err
	}
	h.pending = false
	return nil
}

// hold keeps memory for the KV cache of some tokens under a name for the lifetime of handles.
func (e *Engine) hold(id string, tokens int) (*handle, error) {
	pieces := e.piecesFor(tokens)
	if tokens < 0 || e.used+pieces > e.cfg.pieces {
		return nil, errNoMemory
	}
	e.used += pieces
	h := &handle{
		pieces:  pieces,
		pending: true,
	}
	h.stop = e.timers.After(e.cfg.handleLifetime, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.handles[id] == h {
			e.free(id)
		}
	})
	e.handles[id] = h
	e.sampleLoad(e.now())
	return h, nil
}

// free drops held KV cache; it reports whether there was any.
func (e *Engine) free(id string) bool {
	h, ok := e.handles[id]
	if !ok {
		return false
	}
	h.stop()
	delete(e.handles, id)
	delete(e.offers, id)
	e.used -= h.pieces
	e.admit(e.now())
	return true
}

func (e *Engine) piecesFor(tokens int) int {
	return (tokens + e.cfg.tokensPerPiece - 1) / e.cfg.tokensPerPiece
}
