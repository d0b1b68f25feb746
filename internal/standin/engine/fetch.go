package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"waxwingpick"
)

const (
	// headerToken carries the secret of a reference. In the path it would appear in logs.
	headerToken = "X-Kv-Token"
	// maxErrorBytes is the number of bytes by which the body of an error may exceed the size of the data.
	maxErrorBytes = 64 << 10
)

var (
	errForbidden  = eris.New("no such reference")
	errNotFetched = eris.New("cannot fetch KV cache")
)

// offer permits one fetch of the KV cache that is held under a name. It does not count as used memory.
type offer struct {
	token   string
	data    []byte
	expires time.Time
}

func (e *Engine) kvAddress() string {
	if !e.cfg.directKV {
		return ""
	}
	return e.server.Addr()
}

// offerKV permits one fetch of the data. It replaces an earlier offer of the name.
func (e *Engine) offerKV(id string, data []byte) *waxwingpick.KVReference {
	o := offer{
		token:   uuid.NewString(),
		data:    data,
		expires: e.now().Add(e.cfg.handleLifetime),
	}
	e.offers[id] = o
	e.record.Offered++
	return &waxwingpick.KVReference{
		Address:        e.kvAddress(),
		BootID:         e.bootID,
		Name:           id,
		Token:          o.token,
		Bytes:          int64(len(data)),
		Checksum:       xxhash.Sum64(data),
		LifetimeMillis: e.cfg.handleLifetime.Milliseconds(),
	}
}

// redeem uses up an offer and returns its data. All rejections have the same error, so that they do not disclose which
// names exist.
func (e *Engine) redeem(bootID, id, token string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.held(id)
	if e.faults.TrustFetch && ok {
		return e.encode(held), nil
	}
	o, offered := e.offers[id]
	if !ok || !offered || bootID != e.bootID || token != o.token || !e.now().Before(o.expires) {
		return nil, errForbidden
	}
	delete(e.offers, id)
	e.record.Fetched++
	return o.data, nil
}

// getFetch serves KV cache to another engine.
func (e *Engine) getFetch(c fiber.Ctx) error {
	data, err := e.redeem(c.Query("bootId"), c.Query("name"), c.Get(headerToken))
	if err != nil {
		return e.sendError(c, err)
	}
	faults := e.Faults()
	if slow := faults.SlowFetch.Std(); slow > 0 && !e.server.Wait(slow) {
		return errNotFetched
	}
	if faults.CorruptFetch {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	if !faults.CutFetch {
		return c.Send(data)
	}
	conn := c.RequestCtx().Conn()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		// The connection is closed after this half, so write errors do not matter.
		_, _ = w.Write(data[:len(data)/2])
		_ = w.Flush()
		conn.Close()
	})
}

// dataOf returns the data of an export. It fetches the data of a reference.
func (e *Engine) dataOf(export waxwingpick.KVExport) ([]byte, error) {
	if export.Reference == nil {
		return export.Data, nil
	}
	ref := *export.Reference
	if !e.cfg.directKV {
		return nil, fmt.Errorf("%w: direct transfer is not enabled", errNotFetched)
	}
	data, err := fetch(ref)
	if err != nil {
		return nil, fmt.Errorf("%w from %s: %w", errNotFetched, ref.Address, err)
	}
	if int64(len(data)) != ref.Bytes || xxhash.Sum64(data) != ref.Checksum {
		return nil, fmt.Errorf("%w: %d bytes with another checksum", errWrongCache, len(data))
	}
	return data, nil
}

// fetch reads KV cache from another engine over a new connection. It cannot be retried, because the first fetch uses up
// the token of the reference.
func fetch(ref waxwingpick.KVReference) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", ref.Address, defaultFetchTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(defaultFetchTimeout)); err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(fetchPath + "?" + url.Values{
		"bootId": {ref.BootID},
		"name":   {ref.Name},
	}.Encode())
	req.Header.SetHost(ref.Address)
	req.Header.Set(headerToken, ref.Token)
	req.SetConnectionClose()
	if _, err := req.WriteTo(conn); err != nil {
		return nil, err
	}
	return readFetched(conn, ref.Bytes)
}

func readFetched(r io.Reader, size int64) ([]byte, error) {
	resp := &fasthttp.Response{}
	if err := resp.ReadLimitBody(bufio.NewReader(r), int(size)+maxErrorBytes); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return resp.Body(), nil
}
