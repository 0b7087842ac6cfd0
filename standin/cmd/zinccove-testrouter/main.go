// Command zinccove-testrouter is zinccoved with a network that can be cut and
// a choice of policies for experiments. It is not shipped.
package main

import (
	"os"

	"zinccove.example/standin/testrouter"
)

func main() { os.Exit(testrouter.Main(os.Args[1:], os.Stderr)) }
