//go:build race

package gateway

// largeFleet are the sizes of the data centres of a large fleet. The race detector makes a
// simulation ten times slower, so they are the smallest ones above smallDataCentre and meshLimit.
var largeFleet = []int{50, 50, 49}
