package experiment

import (
	"fmt"
	"syscall"
	"time"

	"zinccove.example/standin/fleet"
	"zinccove.example/zinccove/load"
)

// scenario is a load and, while it runs, a fault.
type scenario struct {
	load  func(duration time.Duration) *load.Experiment
	fault func(f *fleet.Fleet, duration time.Duration) error
}

var scenarios = map[string]scenario{
	"steady":        {load: steady},
	"flood":         {load: flood},
	"mixed":         {load: mixed},
	"returning":     {load: returning},
	"light":         {load: light},
	"restart":       {load: steady, fault: restart},
	"cut":           {load: steady, fault: cut},
	"platform-down": {load: steady, fault: platformDown},
	"frozen":        {load: steady, fault: frozen},
}

// steady has 4 large customers at two routers each and 12 small ones at one
// router each, all backlogged.
func steady(time.Duration) *load.Experiment {
	e := new(load.Experiment)
	for i := range 4 {
		e.Customers = append(e.Customers, load.Customer{Name: fmt.Sprintf("large-%d", i+1), Weight: 4, Outstanding: 60,
			Routers: []int{i, i + 4}, Input: 200, Output: 80, Spread: 0.8})
	}
	for i := range 12 {
		e.Customers = append(e.Customers, load.Customer{Name: fmt.Sprintf("small-%d", i+1), Weight: 1, Outstanding: 12,
			Routers: []int{i % 9}, Input: 100, Output: 60, Spread: 0.8})
	}
	return e
}

// flood has one customer that sends 100 times its part everywhere, and 15 that
// wait for theirs.
func flood(time.Duration) *load.Experiment {
	e := &load.Experiment{Customers: []load.Customer{
		{Name: "flood", Weight: 1, Outstanding: 1600, Input: 20, Output: 20, Spread: 0.5},
	}}
	for i := range 15 {
		e.Customers = append(e.Customers, load.Customer{Name: fmt.Sprintf("other-%d", i+1), Weight: 1, Outstanding: 16,
			Routers: []int{i % 9}, Input: 100, Output: 60, Spread: 0.5})
	}
	return e
}

// mixed has long transcriptions beside short tags.
func mixed(time.Duration) *load.Experiment {
	e := new(load.Experiment)
	for i := range 8 {
		e.Customers = append(e.Customers, load.Customer{Name: fmt.Sprintf("long-%d", i+1), Weight: 1, Outstanding: 16,
			Routers: []int{i, (i + 3) % 9}, Input: 600, Output: 300, Spread: 0.5})
		e.Customers = append(e.Customers, load.Customer{Name: fmt.Sprintf("tags-%d", i+1), Weight: 1, Outstanding: 60,
			Routers: []int{(i + 1) % 9, (i + 5) % 9}, Input: 20, Output: 10, Spread: 0.5})
	}
	return e
}

// returning has half of the customers come back from idle in the middle.
func returning(duration time.Duration) *load.Experiment {
	e := steady(duration)
	for i := range e.Customers {
		if i%2 == 1 {
			e.Customers[i].Start = duration / 2
		}
	}
	return e
}

// light asks for about half of the capacity, at random times.
func light(time.Duration) *load.Experiment {
	e := new(load.Experiment)
	for i := range 16 {
		e.Customers = append(e.Customers, load.Customer{Name: fmt.Sprintf("c-%d", i+1), Weight: 1, Rate: 3.5,
			Input: 100, Output: 60, Spread: 0.8})
	}
	return e
}

// restart kills a router after a third of the time and starts it again.
func restart(f *fleet.Fleet, duration time.Duration) error {
	time.Sleep(duration / 3)
	f.Routers[0].Kill()
	time.Sleep(duration / 6)
	return f.Routers[0].Restart()
}

// cut cuts one data centre off for a third of the time.
func cut(f *fleet.Fleet, duration time.Duration) error {
	time.Sleep(duration / 3)
	if err := f.Cut("dc1"); err != nil {
		return err
	}
	time.Sleep(duration / 3)
	return f.Heal()
}

// platformDown kills the platform after a third of the time.
func platformDown(f *fleet.Fleet, duration time.Duration) error {
	time.Sleep(duration / 3)
	f.Platform.Kill()
	return nil
}

// frozen stops a router for a sixth of the time and wakes it.
func frozen(f *fleet.Fleet, duration time.Duration) error {
	time.Sleep(duration / 3)
	if err := f.Routers[0].Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration / 6)
	return f.Routers[0].Signal(syscall.SIGCONT)
}
