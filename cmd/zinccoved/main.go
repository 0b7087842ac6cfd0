// Command zinccoved is the router daemon; one runs on each entry host.
package main

import (
	"os"

	"zinccove.example/zinccove/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
