package config

import (
	"encoding/json"
	"fmt"
)

// Difference is one object that differs between two versions of the configuration.
type Difference struct {
	Object Object
	// Text describes the difference in one line for operators.
	Text string
}

// Diff returns the objects that were added, removed or changed between two
// versions, grouped by kind. Within a kind the removed objects precede the others;
// both are sorted by name.
func Diff(from, to *Config) []Difference {
	var ds []Difference
	ds = append(ds, diffNamed(KindCustomer, from.Customers, to.Customers)...)
	ds = append(ds, diffNamed(KindModel, from.Models, to.Models)...)
	ds = append(ds, diffNamed(KindService, from.Services, to.Services)...)
	ds = append(ds, diffNamed(KindTarget, from.Targets, to.Targets)...)
	return append(ds, diffNamed(KindHost, from.Hosts, to.Hosts)...)
}

func diffNamed[T any, P named[T]](kind Kind, from, to []T) []Difference {
	var ds []Difference
	for i := range from {
		name := P(&from[i]).objectName()
		if _, kept := findNamed[T, P](to, name); !kept {
			ds = append(ds, Difference{Object: Object{kind, name}, Text: fmt.Sprintf("- %s %s", Object{kind, name}, describe(&from[i]))})
		}
	}
	for i := range to {
		name := P(&to[i]).objectName()
		text := describe(&to[i])
		j, existed := findNamed[T, P](from, name)
		if !existed {
			ds = append(ds, Difference{Object: Object{kind, name}, Text: fmt.Sprintf("+ %s %s", Object{kind, name}, text)})
			continue
		}
		if old := describe(&from[j]); old != text {
			ds = append(ds, Difference{Object: Object{kind, name}, Text: fmt.Sprintf("~ %s %s -> %s", Object{kind, name}, old, text)})
		}
	}
	return ds
}

func describe(obj any) string {
	body, err := json.Marshal(obj)
	if err != nil {
		panic("config: all field types marshal: " + err.Error())
	}
	return string(body)
}

// ChangesTo returns the changes that, applied to from, produce the objects of to,
// except that objects that it creates again receive new numbers.
func ChangesTo(from, to *Config) []Change {
	var chs []Change
	for _, d := range Diff(from, to) {
		chs = append(chs, changeTo(to, d.Object))
	}
	return chs
}

// changeTo returns the change that restores an object to its state in c: it puts
// the object, or removes it if c does not contain it.
func changeTo(c *Config, o Object) Change {
	switch o.Kind {
	case KindCustomer:
		return putOrRemove(c.Customers, o)
	case KindModel:
		return putOrRemove(c.Models, o)
	case KindService:
		return putOrRemove(c.Services, o)
	case KindTarget:
		return putOrRemove(c.Targets, o)
	default:
		return putOrRemove(c.Hosts, o)
	}
}

func putOrRemove[T Customer | Model | Service | Target | Host, P named[T]](list []T, o Object) Change {
	if i, found := findNamed[T, P](list, o.Name); found {
		return Put(list[i])
	}
	return Remove(o.Kind, o.Name)
}
