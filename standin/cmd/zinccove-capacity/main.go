// Command zinccove-capacity measures how the cost of control grows.
package main

import (
	"os"

	"zinccove.example/standin/capacity"
)

func main() { os.Exit(capacity.Main(os.Args[1:], os.Stdout, os.Stderr)) }
