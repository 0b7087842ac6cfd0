// Command zinccove-overhead measures what a router costs: added latency,
// processor time for each request and token, and memory.
package main

import (
	"os"

	"zinccove.example/standin/overhead"
)

func main() { os.Exit(overhead.Main(os.Args[1:], os.Stdout, os.Stderr)) }
