package etcd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/internal/etcdwire"
)

// maxMessageSize is the maximum size of one message of a watch stream, in bytes.
const maxMessageSize = 8 << 20

var errWatchEnded = eris.New("watch ended by the service")

// Watch calls changed for each changed key with the prefix. It returns an error when ctx ends or the watch fails.
func (c *Client) Watch(ctx context.Context, prefix string, changed func(key string)) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	err := c.watch(ctx, prefix, changed)
	if ctx.Err() != nil {
		return fmt.Errorf("watch %s: %w", prefix, ctx.Err())
	}
	return fmt.Errorf("watch %s: %w: %w", prefix, waxwingpick.ErrUnavailable, err)
}

// watch uses a dedicated connection and closes it when ctx ends.
func (c *Client) watch(ctx context.Context, prefix string, changed func(key string)) error {
	body, err := json.Marshal(etcdwire.WatchRequest{
		CreateRequest: prefixRange(prefix),
	})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req := request(etcdwire.PathWatch, body)
	req.Stream, req.Fresh, req.NoTimeout = true, true, true
	resp, err := c.http.Send(ctx, req)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer resp.Close()
	if resp.Status() != http.StatusOK {
		rest, _ := io.ReadAll(io.LimitReader(resp.Stream(), maxErrorMessage))
		return newStatusError(resp.Status(), rest)
	}
	return receive(resp.Stream(), changed)
}

// receive reads the messages of a watch stream until it ends.
func receive(stream io.Reader, changed func(key string)) error {
	bounded := &io.LimitedReader{
		R: stream,
	}
	dec := json.NewDecoder(bounded)
	for {
		bounded.N = maxMessageSize
		var msg etcdwire.WatchResponse
		if err := dec.Decode(&msg); err != nil {
			return fmt.Errorf("read watch stream: %w", err)
		}
		if msg.Error != nil {
			return fmt.Errorf("%w: %s", errWatchEnded, msg.Error.Message)
		}
		if msg.Result.Canceled {
			return errWatchEnded
		}
		for _, event := range msg.Result.Events {
			changed(string(event.Kv.Key))
		}
	}
}
