package main

import (
	"sync"
	"time"
)

const (
	timedJobs = 40
	manyRuns  = 20000 // every minute for two weeks
	fewRuns   = 4
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 1500 * time.Millisecond
	// idleLimit is the 3 s of the rule LOST, and finish its finish_s.
	idleLimit = 3 * time.Second
	finish    = 14 * time.Second
	// enoughEnds is how often the processes of a machine must end for the rule Fault.
	enoughEnds = 3
)

// keeper does what DEPLOY.md says of processes that end: one that exceeds limits.memoryMb is
// killed, and each one is started again after a short delay.
type keeper struct {
	w          *world
	mu         sync.Mutex
	peak, ends map[string]int
	wg         sync.WaitGroup
	stop       chan struct{}
}

func (w *world) keep() *keeper {
	k := &keeper{w: w, peak: map[string]int{}, ends: map[string]int{}, stop: make(chan struct{})}
	for _, in := range w.instances {
		k.wg.Go(func() { k.watch(in) })
	}
	return k
}

func (k *keeper) watch(in *instance) {
	for {
		select {
		case <-k.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		m, alive := in.memory(), in.alive()
		k.mu.Lock()
		k.peak[in.name] = max(k.peak[in.name], m)
		if !alive || m > in.memoryMb {
			k.ends[in.name]++
		}
		k.mu.Unlock()
		switch {
		case !alive:
			k.w.rec.log("%s has ended by itself", in.name)
		case m > in.memoryMb:
			in.kill()
			k.w.rec.log("%s used %d MB, more than limits.memoryMb, and was killed", in.name, m)
		default:
			continue
		}
		select {
		case <-k.stop:
			return
		case <-time.After(restartDelay):
		}
		k.w.startInstance(in)
	}
}

// end stops the keeper, and reports on how many machines processes ended enoughEnds times.
func (k *keeper) end() int {
	close(k.stop)
	k.wg.Wait()
	machines := 0
	for _, in := range k.w.instances {
		k.w.rec.log("%s: %d MB at most, its process ended %d times", in.name, k.peak[in.name], k.ends[in.name])
		if k.ends[in.name] >= enoughEnds {
			machines++
		}
	}
	return machines
}

// inUse returns the accelerators in use and all of them.
func (w *world) inUse() (used, all int64) {
	for _, r := range w.runners {
		r.mu.Lock()
		used, all = used+8-r.free.gpu, all+8
		r.mu.Unlock()
	}
	return used, all
}

// memory sends jobs with times, which run once a minute from an hour later on, and then an
// ordinary one.
func memory(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 4, false)
	runs := manyRuns
	if !trouble {
		runs = fewRuns
	}
	w.rec.log("sending %d jobs with %d times each", timedJobs, runs)
	k := w.keep()
	for i := range timedJobs {
		id := newID()
		j := &job{Spec: "ms=1000", Steps: []step{{Count: 1, CPU: 7500, MemMB: 20000, GPU: 1, EstimateMs: 1000}},
			MaxRuns: runs, StartTimeMs: time.Now().Add(time.Hour).UnixMilli(), IntervalMs: time.Minute.Milliseconds()}
		w.know(id, j)
		status, text := w.call(w.instances[i%len(w.instances)], "POST", prefix2+id, j, 3*time.Second)
		w.rec.log("POST %s -> %d %.100s", id, status, text)
		time.Sleep(250 * time.Millisecond)
	}
	return w.serves(k)
}

// serves sends an ordinary job, as a caller that sends it again until it is accepted, and
// reports whether the rules Fault and LOST hold.
func (w *world) serves(k *keeper) bool {
	// An ordinary job, which a caller sends again until it is accepted.
	id := newID()
	j := &job{Spec: "ms=1000", Steps: []step{{Count: 1, CPU: 7500, MemMB: 20000, GPU: 1, EstimateMs: 1000}}}
	w.know(id, j)
	for i, status := 0, 0; status != 200 && i < 20; i++ {
		var text string
		status, text = w.call(w.instances[i%len(w.instances)], "POST", prefix0+id, j, 3*time.Second)
		w.rec.log("POST %s (an ordinary job of priority 0) -> %d %.100s", id, status, text)
	}
	sentAt := w.rec.now()
	state, idleSince, idle := "", time.Duration(-1), time.Duration(0)
	for i := 0; w.rec.now() < sentAt+finish+10*time.Second && state != "completed"; i++ {
		var status int
		status, state = w.state(w.instances[i%len(w.instances)], prefix0, id)
		used, all := w.inUse()
		w.rec.log("GET %s -> %d %s; %d of %d accelerators in use", id, status, state, used, all)
		waits := len(w.rec.startsOf(id, 0)) == 0 && 2*used < all && w.rec.now() >= sentAt+finish
		switch {
		case !waits:
			idleSince = -1
		case idleSince < 0:
			idleSince = w.rec.now()
		default:
			idle = max(idle, w.rec.now()-idleSince)
		}
		time.Sleep(300 * time.Millisecond)
	}
	machines := k.end()
	w.rec.log("state of the ordinary job %.1f s after it was sent: %q", (w.rec.now() - sentAt).Seconds(), state)
	held := true
	if machines >= 2 {
		held = false
		w.rec.log("Fault: on %d of %d machines processes ended by themselves %d times or more", machines, len(w.instances), enoughEnds)
	}
	if idle >= idleLimit {
		held = false
		w.rec.log("LOST: from %v after the traffic on, the job had nothing running for %.1f s, with under half of the accelerators in use", finish, idle.Seconds())
	}
	return held
}
