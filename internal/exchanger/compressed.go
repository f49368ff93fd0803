package exchanger

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"google.golang.org/protobuf/proto"
)

const (
	// compressedTTL is how long the compressed state is reused while the store changes. A peer
	// gets the changes since then with its next request.
	compressedTTL = time.Second
	// minCompressedBytes is the size of changes from which they are compressed.
	minCompressedBytes = 4 << 10
	// maxStateBytes bounds the size of the decompressed state.
	maxStateBytes = 64 << 20
)

// errStateTooLarge rejects a state that is larger than maxStateBytes.
var errStateTooLarge = errors.New("state of the peer is too large")

type (
	// compressedState holds what many peers request at the same time, encoded once: the whole
	// state after a restart of the fleet, and the last large changes, such as a configuration.
	compressedState struct {
		mutex   sync.Mutex
		whole   encodedItems
		changes encodedItems
	}

	// encodedItems are the encoded changes between two revisions.
	encodedItems struct {
		data         []byte
		since, until int64
		at           tracker.Timestamp
	}
)

// getWhole returns the encoded state and its revision.
func (c *compressedState) getWhole(now tracker.Timestamp, state *watcher.KnownState) ([]byte, int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.whole.data == nil || c.whole.until < state.Revision && now-c.whole.at >= compressedTTL {
		pairs, revision := state.Records.Whole()
		c.whole = encodedItems{data: compressItems(pairs), until: revision, at: now}
	}
	return c.whole.data, c.whole.until
}

// getChanges returns the encoded changes between two revisions, or nil if they are small.
func (c *compressedState) getChanges(pairs []storer.Pair, since, until int64) []byte {
	size := 0
	for _, p := range pairs {
		size += len(p.Key) + len(p.Value)
	}
	if size < minCompressedBytes {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.changes.data == nil || c.changes.since != since || c.changes.until != until {
		c.changes = encodedItems{data: compressItems(pairs), since: since, until: until}
	}
	return c.changes.data
}

func compressItems(pairs []storer.Pair) []byte {
	text, err := proto.Marshal(&wire.StoreItems{Items: toItems(pairs)})
	if err != nil {
		panic("exchanger: encode state: " + err.Error())
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, _ = z.Write(text) // a bytes.Buffer returns no error
	_ = z.Close()
	return b.Bytes()
}

// decompressItems replaces the compressed items of a reply by the items.
func decompressItems(reply *wire.TellReply) error {
	if len(reply.Compressed) == 0 {
		return nil
	}
	z, err := gzip.NewReader(bytes.NewReader(reply.Compressed))
	if err != nil {
		return errors.Wrap(err, "state of the peer")
	}
	text, err := io.ReadAll(io.LimitReader(z, maxStateBytes+1))
	if err != nil {
		return errors.Wrap(err, "state of the peer")
	}
	if len(text) > maxStateBytes {
		return errStateTooLarge
	}
	var list wire.StoreItems
	if err := proto.Unmarshal(text, &list); err != nil {
		return errors.Wrap(err, "state of the peer")
	}
	reply.Items, reply.Compressed = list.Items, nil
	return nil
}

func toItems(pairs []storer.Pair) []*wire.StoreItem {
	items := make([]*wire.StoreItem, 0, len(pairs))
	for _, p := range pairs {
		items = append(items, &wire.StoreItem{Key: p.Key, Value: p.Value, Revision: p.Revision})
	}
	return items
}
