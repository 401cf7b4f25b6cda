package dispatch

// timers is a binary heap of servers ordered by wakeAt. Each server holds its
// index in the heap.
type timers struct {
	heap []*server
}

func (t *timers) first() (*server, bool) {
	if len(t.heap) == 0 {
		return nil, false
	}
	return t.heap[0], true
}

// set adds a server, or moves it after its wakeAt has changed.
func (t *timers) set(v *server) {
	if v.timerIndex < 0 {
		v.timerIndex = len(t.heap)
		t.heap = append(t.heap, v)
	}
	t.up(v.timerIndex)
	t.down(v.timerIndex)
}

func (t *timers) remove(v *server) {
	index := v.timerIndex
	if index < 0 {
		return
	}
	last := len(t.heap) - 1
	t.swap(index, last)
	t.heap = t.heap[:last]
	v.timerIndex = -1
	if index < last {
		t.up(index)
		t.down(index)
	}
}

func (t *timers) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].timerIndex = i
	t.heap[j].timerIndex = j
}

func (t *timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if t.heap[parent].wakeAt <= t.heap[i].wakeAt {
			return
		}
		t.swap(i, parent)
		i = parent
	}
}

func (t *timers) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(t.heap) {
			return
		}
		if right := child + 1; right < len(t.heap) && t.heap[right].wakeAt < t.heap[child].wakeAt {
			child = right
		}
		if t.heap[i].wakeAt <= t.heap[child].wakeAt {
			return
		}
		t.swap(i, child)
		i = child
	}
}
