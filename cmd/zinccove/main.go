// Command zinccove is the operators' client.
package main

import (
	"os"

	"zinccove.example/zinccove/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
