// Command zinccove-experiment measures a fleet of today's size on loopback
// under loads and faults.
package main

import (
	"os"

	"zinccove.example/standin/experiment"
)

func main() { os.Exit(experiment.Main(os.Args[1:], os.Stdout, os.Stderr)) }
