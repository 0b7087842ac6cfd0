// Package tool is what the command lines of the measuring programs share.
//
// # Usage
//
//	func Main(args []string, out, errOut io.Writer) int {
//		var o options
//		return tool.Main("zinccove-overhead", &o, args, out, errOut, o.run)
//	}
package tool

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Format is the option for the form of the output, to be embedded.
type Format struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// JSON reports whether the output is to be JSON.
func (f Format) JSON() bool { return f.Output == "json" }

// Main parses args into options, a pointer to a struct with the tags of
// go-flags, calls run and returns the exit code.
func Main(name string, options any, args []string, out, errOut io.Writer, run func(out io.Writer) error) int {
	p := flags.NewParser(options, flags.HelpFlag)
	p.Name = name
	_, err := p.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		fmt.Fprintln(out, err)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, name+":", err)
		return exitUsage
	}
	if err := run(out); err != nil {
		fmt.Fprintln(errOut, name+":", err)
		return exitFailed
	}
	return exitOK
}
