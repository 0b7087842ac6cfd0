package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Process is a running program. Its output is kept for failures.
type Process struct {
	Name string

	cmd    *exec.Cmd
	group  errgroup.Group
	lines  chan string
	ended  chan struct{}
	mu     sync.Mutex
	output bytes.Buffer
	err    error
}

// startTimeout bounds the time until a program says that it listens.
const startTimeout = 10 * time.Second

// stopTimeout bounds a planned stop before the process is killed.
const stopTimeout = 20 * time.Second

// keepOutput bounds the kept output of a process in bytes.
const keepOutput = 1 << 20

// start runs a program and keeps its output; its lines can be awaited with
// awaitLine.
func start(name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), lines: make(chan string, 64), ended: make(chan struct{})}
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	// The child dies with this process, however that ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p.group.Go(func() error { return p.read(r) })
	p.group.Go(func() error {
		p.err = p.cmd.Wait()
		close(p.ended)
		return w.Close()
	})
	return p, nil
}

func (p *Process) read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		p.mu.Lock()
		if p.output.Len() < keepOutput {
			p.output.WriteString(sc.Text() + "\n")
		}
		p.mu.Unlock()
		select {
		case p.lines <- sc.Text():
		default:
		}
	}
	return sc.Err()
}

// awaitLine returns the first line for which accept returns true.
func (p *Process) awaitLine(accept func(string) bool) (string, error) {
	timeout := time.After(startTimeout)
	for {
		select {
		case line := <-p.lines:
			if accept(line) {
				return line, nil
			}
		case <-p.ended:
			return "", fmt.Errorf("%s ended: %v\n%s", p.Name, p.err, p.Output())
		case <-timeout:
			return "", fmt.Errorf("%s did not start in %s\n%s", p.Name, startTimeout, p.Output())
		}
	}
}

// Output returns what the process wrote so far.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL) // it may have ended already
	p.group.Wait()                //nolint:errcheck // a killed process has no more to say
}

// Stop makes the planned stop and returns the exit code.
func (p *Process) Stop() (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, fmt.Errorf("stop %s: %w", p.Name, err)
	}
	return p.AwaitEnd()
}

// AwaitEnd waits for a process that was asked to end and returns its exit
// code. A process that does not end in time is killed, which is an error.
func (p *Process) AwaitEnd() (int, error) {
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.Kill()
		return 0, fmt.Errorf("%s did not stop in %s\n%s", p.Name, stopTimeout, p.Output())
	}
	p.group.Wait() //nolint:errcheck // its end is known from ended
	return p.cmd.ProcessState.ExitCode(), nil
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Close ends the process, planned if it can be.
func (p *Process) Close() {
	if p.Ended() {
		return
	}
	_ = p.Signal(syscall.SIGCONT) // it may be frozen
	if _, err := p.Stop(); err != nil {
		p.Kill()
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
