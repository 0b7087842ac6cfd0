//go:build !race

package gateway

// largeFleet are the sizes of the data centres of a large fleet, 295 routers in all.
var largeFleet = []int{68, 68, 50, 50, 59}
