// Command zinccove-demo starts stand-ins and three routers on loopback, serves
// real requests through them and stops everything.
package main

import (
	"os"

	"zinccove.example/standin/demo"
)

func main() { os.Exit(demo.Main(os.Args[1:], os.Stdout, os.Stderr)) }
