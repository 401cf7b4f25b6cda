package dispatch

import "time"

const (
	// levelCount is the number of effective classes.
	levelCount = 3
	// noItem is the index that stands for no item.
	noItem int32 = -1
)

type itemState uint8

const (
	stateFree itemState = iota
	stateQueued
	stateInFlight
	// stateAwaitingRetry marks an item whose attempt did not succeed, until
	// Retry or Cancel is called.
	stateAwaitingRetry
)

// item is a request held by the dispatcher. Items are stored in a pool and
// linked by index, so that dispatch doesn't allocate in the steady state.
type item struct {
	id      uint64
	service *service
	server  *server
	// deadline, arrivedAt and startedAt are relative to the dispatcher's origin.
	// A retry doesn't change arrivedAt.
	deadline  time.Duration
	arrivedAt time.Duration
	startedAt time.Duration
	// cost is the slot time that was expected when the item was queued.
	cost time.Duration
	// expectedWait is the wait forecast on arrival, or 0 if none was expected or
	// the forecast was incomplete.
	expectedWait time.Duration
	// timeLimit is the time limit of the current attempt, or 0 for none.
	timeLimit  time.Duration
	prev, next int32
	attempt    int
	level      uint8
	state      itemState
	repeatable bool
	// long marks in-flight items that count against the slots for long work.
	long bool
	// charged marks items whose cost was charged to their workspace's deficit.
	charged   bool
	cancelled bool
}

// pool stores the items and finds them by ID.
type pool struct {
	items []item
	free  []int32
	index map[uint64]int32
}

func newPool(capacity int) pool {
	return pool{
		items: make([]item, 0, capacity),
		free:  make([]int32, 0, capacity),
		index: make(map[uint64]int32, 2*capacity),
	}
}

func (p *pool) add(it item) int32 {
	var i int32
	if n := len(p.free); n > 0 {
		i = p.free[n-1]
		p.free = p.free[:n-1]
		p.items[i] = it
	} else {
		i = int32(len(p.items))
		p.items = append(p.items, it)
	}
	p.index[it.id] = i
	return i
}

func (p *pool) remove(i int32) {
	delete(p.index, p.items[i].id)
	p.items[i] = item{}
	p.free = append(p.free, i)
}

func (p *pool) find(id uint64) (int32, bool) {
	i, ok := p.index[id]
	return i, ok
}

// list is a doubly linked list of pooled items.
type list struct {
	head, tail int32
	len        int
}

func newList() list {
	return list{head: noItem, tail: noItem}
}

func (l *list) pushBack(p *pool, i int32) {
	it := &p.items[i]
	it.prev, it.next = l.tail, noItem
	if l.tail == noItem {
		l.head = i
	} else {
		p.items[l.tail].next = i
	}
	l.tail = i
	l.len++
}

func (l *list) pushFront(p *pool, i int32) {
	it := &p.items[i]
	it.prev, it.next = noItem, l.head
	if l.head == noItem {
		l.tail = i
	} else {
		p.items[l.head].prev = i
	}
	l.head = i
	l.len++
}

func (l *list) remove(p *pool, i int32) {
	it := &p.items[i]
	if it.prev == noItem {
		l.head = it.next
	} else {
		p.items[it.prev].next = it.next
	}
	if it.next == noItem {
		l.tail = it.prev
	} else {
		p.items[it.next].prev = it.prev
	}
	it.prev, it.next = noItem, noItem
	l.len--
}
