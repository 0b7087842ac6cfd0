package cachefeed

// position is how far the events of a target were read.
type position struct {
	// begun is set once events of the epoch were read from the first one.
	begun        bool
	epoch, since uint64
	// needsList is set after events were lost, until a list was read.
	needsList bool
}

// advance applies events; ok is false if they change nothing.
func (p *position) advance(e Events) (c Change, ok bool) {
	switch {
	case p.begun && e.Epoch != p.epoch:
		*p = position{}
		return Change{Reason: Restarted}, true
	case e.Lost:
		*p = position{needsList: true}
		return Change{Reason: EventsLost}, true
	case !p.begun:
		*p = position{begun: true, epoch: e.Epoch, since: e.Next}
		return Change{Known: true, Complete: true, Parts: e.Parts, Reason: EventsRead}, true
	}
	p.since = e.Next
	return Change{Known: true, Parts: e.Parts}, len(e.Parts) > 0
}

// adopt continues after a list.
func (p *position) adopt(l List) Change {
	*p = position{begun: true, epoch: l.Epoch, since: l.Next}
	return Change{Known: true, Complete: true, Parts: l.Parts, Reason: ListRead}
}
