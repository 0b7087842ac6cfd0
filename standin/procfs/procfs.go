// Package procfs reads what processes use from the kernel.
//
// # Usage
//
//	used, err := procfs.CPUTime(pid)
//	bytes, err := procfs.Memory(pid)
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the kernel's unit of processor time in procfs.
const ticksPerSecond = 100

// CPUTime returns the processor time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The fields after the command's closing bracket start with the state.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	const user, system = 11, 12
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// Memory returns the resident memory of a process in bytes.
func Memory(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("no VmRSS for process %d", pid)
}
