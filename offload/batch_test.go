package offload

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestBatchesKeepBytes writes messages at intervals around the delay of a batch, so that some find
// the batch before just sent.
func TestBatchesKeepBytes(t *testing.T) {
	near, far := net.Pipe()
	b := newBatchConn(near, clockwork.NewRealClock())
	const messages = 400
	var group errgroup.Group
	var received bytes.Buffer
	group.Go(func() error {
		_, err := io.CopyN(&received, far, messages*64)
		return err
	})
	var sent bytes.Buffer
	for i := range messages {
		message := bytes.Repeat([]byte{byte(i)}, 64)
		sent.Write(message)
		_, err := b.Write(message)
		assert.NilError(t, err)
		time.Sleep(time.Duration(i%5) * batchDelay / 4)
	}
	assert.NilError(t, group.Wait())
	assert.Assert(t, bytes.Equal(received.Bytes(), sent.Bytes()))
	assert.NilError(t, b.Close())
	_, err := b.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Writers wait while the other end reads nothing, and Close ends their wait.
func TestBatchesAreBounded(t *testing.T) {
	here, _ := net.Pipe()
	b := newBatchConn(here, testClock)
	written := 0
	var group errgroup.Group
	group.Go(func() error {
		for {
			n, err := b.Write(make([]byte, 1<<10))
			written += n
			if err != nil {
				return err
			}
		}
	})
	eventually(t, func() bool { return b.stuck(time.Now()) })
	time.Sleep(5 * batchDelay)
	assert.NilError(t, b.Close())
	assert.ErrorIs(t, group.Wait(), net.ErrClosed)
	assert.Assert(t, written <= 3*maxBatch)
}
