//go:build !race

package presence

// largest is the size of the largest simulated fleet that is played in full.
const largest = 1000
