//go:build race

package presence

// largest is the size of the largest simulated fleet that is played in full; the race detector
// makes each of them ten times slower.
const largest = 300
