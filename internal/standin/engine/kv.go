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
	errNoMemory     = eris.New("not enough free memory")
	errWrongCache   = eris.New("the KV cache belongs to another model, version or prompt")
	errUnknownCache = eris.New("no such KV cache")
	errBusy         = eris.New("the engine does not accept work")
)

// kvData is simulated KV cache: the prompt and the number of generated tokens that it covers.
type kvData struct {
	Prompt    string `json:"prompt"`
	Generated int    `json:"generated"`
}

// handle is KV cache that is held for a later request. It is pending until its data has arrived.
type handle struct {
	data      kvData
	kvBlocks  int
	pending   bool
	stopTimer func()
}

func (e *Engine) fingerprint(d kvData) string {
	sum := xxhash.Sum64String(d.Prompt)
	return fmt.Sprintf("%s/%016x/%d", e.fingerprintPrefix(), sum, d.Generated)
}

func (e *Engine) fingerprintPrefix() string {
	return strings.Join([]string{e.active.Model, e.active.Adapter, e.active.Version}, "/")
}

// encode returns the data of an export, padded with spaces to the configured size per token.
func (e *Engine) encode(d kvData) []byte {
	// A string and a number always encode.
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

// exportOf exports KV cache that is held under a name, as data or as a reference.
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

// importKV holds exported KV cache until a request uses it. It reserves memory before it fetches the data.
func (e *Engine) importKV(id string, export waxwingpick.KVExport) (string, error) {
	h, err := e.reserve(id, export)
	if err != nil {
		return "", err
	}
	data, err := e.dataOf(export)
	return id, e.completeImport(id, h, data, export, err)
}

// reserve reserves the memory for an export.
func (e *Engine) reserve(id string, export waxwingpick.KVExport) (*handle, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusesWork() {
		return nil, errBusy
	}
	if !strings.HasPrefix(export.Fingerprint, e.fingerprintPrefix()+"/") {
		return nil, fmt.Errorf("import %s: %w", export.Fingerprint, errWrongCache)
	}
	if e.cancelledIDs.Contains(id) {
		return nil, errCancelled
	}
	if _, used := e.handles[id]; used {
		return nil, errRepeatedStream
	}
	return e.hold(id, export.Tokens)
}

// completeImport stores the data in a reserved handle. It frees the handle if the fetch failed or the data is of another
// export, and fails if the import was cancelled.
func (e *Engine) completeImport(id string, h *handle, data []byte, export waxwingpick.KVExport, err error) error {
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

// hold reserves memory for the KV cache of the tokens under a name. It is freed after the handle lifetime.
func (e *Engine) hold(id string, tokens int) (*handle, error) {
	kvBlocks := e.blocksFor(tokens)
	if tokens < 0 || e.usedBlocks+kvBlocks > e.cfg.kvBlocks {
		return nil, errNoMemory
	}
	e.usedBlocks += kvBlocks
	h := &handle{
		kvBlocks: kvBlocks,
		pending:  true,
	}
	h.stopTimer = e.timers.After(e.cfg.handleLifetime, func(time.Time) {
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

// free frees held KV cache and reports whether there was any.
func (e *Engine) free(id string) bool {
	h, ok := e.handles[id]
	if !ok {
		return false
	}
	h.stopTimer()
	delete(e.handles, id)
	delete(e.offers, id)
	e.usedBlocks -= h.kvBlocks
	e.admit(e.now())
	return true
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.cfg.tokensPerBlock - 1) / e.cfg.tokensPerBlock
}
