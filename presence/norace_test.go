//go:build !race

package presence

// largest is the size of the largest simulated fleet of the tests.
const largest = 1000
