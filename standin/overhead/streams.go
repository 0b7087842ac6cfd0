package overhead

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/procfs"
)

// concurrentStreams run at once in the measurement of streams; at 50 tokens a
// second each they are 25,000 tokens a second.
const concurrentStreams = 500

// streams measures the router's processor time for each token.
func (o *options) streams(b *bench, out io.Writer) error {
	before, err := procfs.CPUTime(b.router.PID())
	if err != nil {
		return err
	}
	started := time.Now()
	tokens, err := b.openStreams(concurrentStreams, 1000, o.Duration)
	if err != nil {
		return err
	}
	elapsed := time.Since(started)
	after, err := procfs.CPUTime(b.router.PID())
	if err != nil {
		return err
	}
	cpu := after - before
	fmt.Fprintf(out, "streams, %d at once\n  router        %8.0f tokens/s %8.0f tokens/s a core   %.1f us of a core for each token\n",
		concurrentStreams, float64(tokens)/elapsed.Seconds(), float64(tokens)/cpu.Seconds(), cpu.Seconds()*1e6/float64(tokens))
	return nil
}

// idle measures the router's memory with many streams that deliver nothing.
func (o *options) idle(b *bench, out io.Writer) error {
	empty, err := procfs.Memory(b.router.PID())
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(func() error {
		_, err := b.openStreams(o.Idle, 100_000, o.Duration+o.Duration)
		return err
	})
	most := 0
	end := time.Now().Add(o.Duration + o.Duration)
	for time.Now().Before(end) {
		now, err := procfs.Memory(b.router.PID())
		if err != nil {
			return fmt.Errorf("%w\n%s", err, b.router.Output())
		}
		most = max(most, now)
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Fprintf(out, "memory\n  router        %d MB before, at most %d MB with %d streams open: %.1f KB each\n",
		empty>>20, most>>20, o.Idle, float64(most-empty)/1024/float64(o.Idle))
	return g.Wait()
}

// openStreams opens streams of the given number of tokens, reads them for a
// duration and returns the tokens read.
func (b *bench) openStreams(streams, tokens int, duration time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var read atomic.Int64
	var g errgroup.Group
	for i := range streams {
		g.Go(func() error { return b.readStream(ctx, client, fmt.Sprintf("stream %d", i), tokens, &read) })
	}
	err := g.Wait()
	return read.Load(), err
}

func (b *bench) readStream(ctx context.Context, client *http.Client, prompt string, tokens int, read *atomic.Int64) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.router.Caller.String()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey(customer))
	resp, err := client.Do(req)
	if err != nil {
		return ignoreEnd(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			read.Add(1)
		}
	}
	return ignoreEnd(ctx, lines.Err())
}

// ignoreEnd drops errors that come from the end of the measurement.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
