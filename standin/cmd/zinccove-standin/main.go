// Command zinccove-standin runs one stand-in: the platform, a model engine or
// a plain service. It is for demonstrations and tests and is not shipped.
package main

import (
	"os"

	"zinccove.example/standin/run"
)

func main() { os.Exit(run.Main(os.Args[1:], os.Stdout, os.Stderr)) }
