package ingress

import (
	"encoding/binary"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/quarantine"
)

// terminationSpan is the time during which losses of a target belong to the termination that the
// first of them showed: a target that restarts may break further attempts.
const terminationSpan = time.Second

// incarnations identifies the incarnations of targets that terminated. Targets that operators
// declare do not report when they started.
type incarnations struct {
	mu sync.Mutex
	// terminated is when the termination of a target, by its number, was first seen.
	terminated map[uint32]time.Time
}

// of returns the incarnation of a target whose connection was lost at a time. Routers that first
// see a termination in the same second return the same incarnation.
func (i *incarnations) of(target uint32, lost time.Time) quarantine.IncarnationHash {
	first := i.firstLoss(target, lost)
	var b [12]byte
	binary.BigEndian.PutUint32(b[:4], target)
	binary.BigEndian.PutUint64(b[4:], uint64(first.Unix()))
	return quarantine.IncarnationHash(xxhash.Sum64(b[:]))
}

// firstLoss returns when the termination to which a loss belongs was first seen.
func (i *incarnations) firstLoss(target uint32, lost time.Time) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	maps.DeleteFunc(i.terminated, func(_ uint32, first time.Time) bool { return lost.Sub(first) >= terminationSpan })
	if first, ok := i.terminated[target]; ok {
		return first
	}
	if i.terminated == nil {
		i.terminated = make(map[uint32]time.Time)
	}
	i.terminated[target] = lost
	return lost
}
