//go:build race

package presence

// largest is the size of the largest simulated fleet of the tests; the race detector
// makes each simulation ten times slower.
const largest = 300
