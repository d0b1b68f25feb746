package etcd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/internal/etcdwire"
)

// maxRange is the maximum number of keys in a range response.
const maxRange = 1000

// errUnsupported means that the request is outside the supported subset.
var errUnsupported = eris.New("not supported by the stand-in")

// serve decodes a request, runs the call and writes the response. It closes the connection where the response is lost.
func serve[Req, Res any](ctx *fasthttp.RequestCtx, call func(Req) (Res, error)) {
	var req Req
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		writeError(ctx, err)
		return
	}
	res, err := call(req)
	if errors.Is(err, waxwingpick.ErrUnknownOutcome) {
		closeConnection(ctx)
		return
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, res)
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	code, body := status(err)
	writeJSON(ctx, body)
	ctx.SetStatusCode(code)
}

func (s *Server) header() etcdwire.Header {
	return etcdwire.Header{
		Revision: s.store.Revision(),
	}
}

func (s *Server) rangeKeys(req etcdwire.RangeRequest) (etcdwire.RangeResponse, error) {
	var entries []waxwingpick.Entry
	if len(req.RangeEnd) == 0 {
		e, err := s.kv.GetSince(context.Background(), string(req.Key), afterRevision(req))
		if err != nil {
			return etcdwire.RangeResponse{}, err
		}
		entries = append(entries, e)
	} else {
		listed, err := s.list(req)
		if err != nil {
			return etcdwire.RangeResponse{}, err
		}
		entries = listed
	}
	res := etcdwire.RangeResponse{
		Header: s.header(),
	}
	for _, e := range entries {
		if e.Exists() {
			res.Kvs = append(res.Kvs, s.keyValue(e))
		}
	}
	res.Count = int64(len(res.Kvs))
	return res, nil
}

func (s *Server) list(req etcdwire.RangeRequest) ([]waxwingpick.Entry, error) {
	prefix, err := prefixOf(req)
	if err != nil {
		return nil, err
	}
	limit := maxRange
	if req.Limit > 0 {
		limit = min(limit, int(req.Limit))
	}
	return s.kv.ListSince(context.Background(), prefix, afterRevision(req), limit)
}

// afterRevision returns the revision after which the requested keys were written.
func afterRevision(req etcdwire.RangeRequest) int64 {
	return max(0, req.MinModRevision-1)
}

// prefixOf returns the prefix of a range. A range that is not a prefix fails.
func prefixOf(req etcdwire.RangeRequest) (string, error) {
	prefix := string(req.Key)
	if prefix == "\x00" {
		prefix = ""
	}
	if string(etcdwire.PrefixEnd(prefix)) != string(req.RangeEnd) {
		return "", fmt.Errorf("range %q to %q: %w", req.Key, req.RangeEnd, errUnsupported)
	}
	return prefix, nil
}

func (s *Server) keyValue(e waxwingpick.Entry) etcdwire.KeyValue {
	_, details := s.store.Peek(e.Key)
	return etcdwire.KeyValue{
		Key:            []byte(e.Key),
		CreateRevision: details.Created,
		ModRevision:    e.Revision,
		Version:        details.Version,
		Value:          e.Value,
		Lease:          int64(details.Lease),
	}
}

func (s *Server) txn(req etcdwire.TxnRequest) (etcdwire.TxnResponse, error) {
	if len(req.Compare) != 1 || len(req.Success) != 1 {
		return etcdwire.TxnResponse{}, fmt.Errorf("transaction of %d comparisons and %d operations: %w", len(req.Compare), len(req.Success), errUnsupported)
	}
	expected, holds, err := s.expected(req.Compare[0])
	if err != nil {
		return etcdwire.TxnResponse{}, err
	}
	if !holds {
		expected = -1
	}
	op, err := s.apply(string(req.Compare[0].Key), expected, req.Success[0])
	if errors.Is(err, waxwingpick.ErrConflict) {
		return etcdwire.TxnResponse{
			Header: s.header(),
		}, nil
	}
	if err != nil {
		return etcdwire.TxnResponse{}, err
	}
	return etcdwire.TxnResponse{
		Header:    s.header(),
		Succeeded: true,
		Responses: []etcdwire.ResponseOp{op},
	}, nil
}

// expected returns the modification revision that a comparison requires, and false where the comparison fails.
func (s *Server) expected(c etcdwire.Compare) (int64, bool, error) {
	if c.Result != "" && c.Result != etcdwire.ResultEqual {
		return 0, false, fmt.Errorf("comparison %s: %w", c.Result, errUnsupported)
	}
	switch c.Target {
	case etcdwire.TargetMod:
		return c.ModRevision, true, nil
	case etcdwire.TargetCreate:
		e, details := s.store.Peek(string(c.Key))
		return e.Revision, details.Created == c.CreateRevision, nil
	}
	return 0, false, fmt.Errorf("comparison of %q: %w", c.Target, errUnsupported)
}

func (s *Server) apply(key string, expected int64, op etcdwire.RequestOp) (etcdwire.ResponseOp, error) {
	switch {
	case op.RequestPut != nil && string(op.RequestPut.Key) == key:
		e, err := s.kv.CompareAndSwap(context.Background(), key, expected, op.RequestPut.Value, waxwingpick.LeaseID(op.RequestPut.Lease))
		if err != nil {
			return etcdwire.ResponseOp{}, err
		}
		return etcdwire.ResponseOp{
			ResponsePut: &etcdwire.PutResponse{
				Header: etcdwire.Header{
					Revision: e.Revision,
				},
			},
		}, nil
	case op.RequestDeleteRange != nil && string(op.RequestDeleteRange.Key) == key:
		if err := s.kv.CompareAndDelete(context.Background(), key, expected); err != nil {
			return etcdwire.ResponseOp{}, err
		}
		return etcdwire.ResponseOp{
			ResponseDeleteRange: &etcdwire.DeleteRangeResponse{
				Header:  s.header(),
				Deleted: 1,
			},
		}, nil
	}
	return etcdwire.ResponseOp{}, fmt.Errorf("operation on another key than the comparison: %w", errUnsupported)
}

func (s *Server) grant(req etcdwire.Lease) (etcdwire.Lease, error) {
	id, err := s.kv.Grant(context.Background(), time.Duration(req.TTL)*time.Second)
	if err != nil {
		return etcdwire.Lease{}, err
	}
	return etcdwire.Lease{
		ID:  int64(id),
		TTL: req.TTL,
	}, nil
}

// keepAlive responds to an expired lease with a TTL of zero, as the gateway does.
func (s *Server) keepAlive(req etcdwire.Lease) (etcdwire.KeepAliveResponse, error) {
	ttl, err := s.kv.KeepAlive(context.Background(), waxwingpick.LeaseID(req.ID))
	if err != nil && !errors.Is(err, waxwingpick.ErrLeaseExpired) {
		return etcdwire.KeepAliveResponse{}, err
	}
	return etcdwire.KeepAliveResponse{
		Result: etcdwire.Lease{
			ID:  req.ID,
			TTL: int64(ttl / time.Second),
		},
	}, nil
}

func (s *Server) revoke(req etcdwire.Lease) (struct{}, error) {
	return struct{}{}, s.kv.Revoke(context.Background(), waxwingpick.LeaseID(req.ID))
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	var req etcdwire.WatchRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		writeError(ctx, err)
		return
	}
	prefix, err := prefixOf(req.CreateRequest)
	if err != nil {
		writeError(ctx, err)
		return
	}
	w, err := s.kv.Open(context.Background(), prefix)
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		defer w.Close()
		if !s.send(out, etcdwire.WatchResult{
			Header:  s.header(),
			Created: true,
		}) {
			return
		}
		for {
			keys, err := w.Next(context.Background())
			if err != nil || !s.send(out, s.events(keys)) {
				return
			}
		}
	})
}

func (s *Server) events(keys []string) etcdwire.WatchResult {
	res := etcdwire.WatchResult{
		Header: s.header(),
	}
	for _, key := range keys {
		e, _ := s.store.Peek(key)
		event := etcdwire.Event{
			Kv: s.keyValue(e),
		}
		if !e.Exists() {
			event.Type = "DELETE"
		}
		res.Events = append(res.Events, event)
	}
	return res
}

func (s *Server) send(out *bufio.Writer, result etcdwire.WatchResult) bool {
	if err := json.NewEncoder(out).Encode(etcdwire.WatchResponse{
		Result: result,
	}); err != nil {
		return false
	}
	return out.Flush() == nil
}
