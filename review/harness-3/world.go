package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// start is a work unit that a runner has begun.
type startOf struct {
	at           time.Duration
	task         string
	run          int64
	runner, kind string
}

// recorder writes record.txt.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	starts []startOf
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *recorder) began(task string, run int64, runner, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, startOf{time.Since(r.start), task, run, runner, kind})
}

// startsOf returns the starts of a job's work units after a moment.
func (r *recorder) startsOf(id string, after time.Duration) []startOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []startOf
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, id+".") && s.at > after {
			out = append(out, s)
		}
	}
	return out
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

var zones = []string{"north-yard", "river-yard", "saw-hall", "east-kiln"}

const (
	host    = "nony24.example"
	apiKey  = "d4a3hwrr6x73d3zji9n7"
	prefix0 = "/pufi791/" // priority 0, moist-check
	prefix2 = "/pule252/" // priority 2, stack-tally
)

// instance is a process of the system.
type instance struct {
	name, ip, settings string
	memoryMb           int
	cmd                *exec.Cmd
	done               chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	rec       *recorder
	store     *store
	storeAddr string
	runners   []*runner
	book      *workBook
	instances []*instance
	dir       string
	program   string
	ports     [3]int
	client    *http.Client
	// seasoning is the number of runners of the service of that name, which exists if it
	// isn't 0. tallyService is the one that the manifest sends stack-tally to.
	seasoning    int
	tallyService string
	ctx          context.Context
	cancel       context.CancelFunc
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		cleanup()
		os.Exit(2)
	}
}

var cleanup = func() {}

// listen serves a handler on a free port of an address.
func listen(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newWorld starts the stand-ins and the processes, and waits until a job can be served.
func newWorld(caseDir string, runners, instances int, quiet bool) *world {
	return newWorldOf(caseDir, runners, 0, instances, quiet)
}

// newWorldOf is newWorld with the last runners in a second service.
func newWorldOf(caseDir string, runners, seasoning, instances int, quiet bool) *world {
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	must(err)
	w := &world{rec: &recorder{file: file, start: time.Now()}, store: newStore(), book: &workBook{needs: map[string]need{}}, seasoning: seasoning, tallyService: "assessing"}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.program, err = filepath.Abs("target/lentilwinch-poold")
	must(err)
	_, err = os.Stat(w.program)
	must(err)
	w.dir, err = os.MkdirTemp("", "review-3-")
	must(err)
	cleanup = w.close
	net3 := fmt.Sprintf("127.%d.%d.", 64+rand.Intn(128), 1+rand.Intn(250))
	w.storeAddr = listen(net3+"200", w.store)
	w.store.put("op", "config", w.config(1))
	for i := range runners {
		r := newRunner(fmt.Sprintf("i-%08x", 0x7f3a9000+i), "", zones[i%4], fmt.Sprintf("r%d-%d", i%4, i/24), w.book, w.rec)
		r.quiet = quiet
		if i >= runners-w.seasoning {
			r.service = "seasoning"
		}
		r.serve(net3 + "201")
		w.runners = append(w.runners, r)
		go w.checkIn(r)
	}
	for i := range w.ports {
		w.ports[i] = freePort(net3 + "1")
	}
	var seeds []string
	for i := range instances {
		in := &instance{name: fmt.Sprintf("front-%s-%d", zones[i%4], i/4+1), ip: fmt.Sprintf("%s%d", net3, i+1), memoryMb: 284}
		w.instances = append(w.instances, in)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", in.ip, w.ports[2]))
		}
	}
	for i, in := range w.instances {
		in.settings = filepath.Join(w.dir, in.name+".conf")
		must(os.WriteFile(in.settings, []byte(w.settings(in, zones[i%4], seeds)), 0o600))
		w.startInstance(in)
	}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, in := range w.instances {
		w.awaitReady(in)
	}
	w.rec.log("all instances are ready")
	return w
}

func (w *world) awaitReady(in *instance) {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := w.client.Get(fmt.Sprintf("http://%s:%d/api/ready", in.ip, w.ports[1]))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			must(fmt.Errorf("%s isn't ready", in.name))
		}
	}
}

// heartbeat is heartbeatMs.
const heartbeat = 1500 * time.Millisecond

// checkIn writes a runner's entry about every heartbeatMs.
func (w *world) checkIn(r *runner) {
	for seq := 1; w.ctx.Err() == nil; seq++ {
		r.mu.Lock()
		isDown := r.isDown
		r.mu.Unlock()
		if !isDown {
			w.store.put("servers", r.id, r.entry(seq))
		}
		select {
		case <-time.After(heartbeat):
		case <-r.checkNow:
		case <-w.ctx.Done():
		}
	}
}

func (w *world) config(version int) map[string]any {
	route := func(name, prefix, service string, priority int, stretch float64, target int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": target,
			"priority": priority, "backend": service, "maxAttempts": 4, "stretch": stretch, "allowAnonymous": false}
	}
	services := []any{}
	for _, name := range []string{"assessing", "seasoning"}[:1+min(w.seasoning, 1)] {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false})
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-moist", prefix0, "assessing", 0, 1.5, 250), route("r-tally", prefix2, w.tallyService, 2, 3, 3000)},
		"backends": services,
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 72}}},
	}
}

// settings returns a settings file as DEPLOY.md shows it.
func (w *world) settings(in *instance, zone string, seeds []string) string {
	return fmt.Sprintf(`node=%s
role=instance
machineClass=front
serves=front,control
ip=%s
zone=%s
region=adama
zones.north-yard=adama
zones.river-yard=adama
zones.saw-hall=adama
zones.east-kiln=adama
listen.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
internalPorts=7000,7015
seeds=%s
bootstrap=true
inTolerance=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%d
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.recoveryS=12
bounds.holdMaxMs=10000
bounds.stopMs=400
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.farX=3
bounds.checkpointIntervalS=1
bounds.restoreMs=100
bounds.reclaimMs=2900
orders=call
platform.address=%s
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txMs=8.0
platform.partWritesPerS=150
platform.rowBytes=65536
platform.across=false
platform.historyS=20
`, in.name, in.ip, zone, in.ip, w.ports[0], in.ip, w.ports[1], in.ip, w.ports[2], strings.Join(seeds, ","), in.memoryMb, w.storeAddr)
}

// startInstance starts the program with the command of deploy/system.toml.
func (w *world) startInstance(in *instance) {
	in.cmd = exec.Command(w.program, "-metrics", "9464/metrics")
	in.cmd.Env = []string{"LENTILWINCH_BOOT=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	log, err := os.OpenFile(filepath.Join(w.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	must(in.cmd.Start())
	done := make(chan struct{})
	in.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(in.cmd)
	w.rec.log("%s started", in.name)
}

func (in *instance) kill() {
	_ = in.cmd.Process.Signal(syscall.SIGKILL)
	<-in.done
}

func (in *instance) alive() bool {
	select {
	case <-in.done:
		return false
	default:
		return true
	}
}

// memory returns the resident memory of the process in MB.
func (in *instance) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// call sends a request as a consumer does. Status 0 means that no answer came.
func (w *world) call(in *instance, method, path string, body any, patience time.Duration) (int, string) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", in.ip, w.ports[0], path), bytes.NewReader(text))
	must(err)
	req.Host = host
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(out))
}

func (w *world) close() {
	w.cancel()
	for _, in := range w.instances {
		if in.cmd != nil && in.cmd.Process != nil && in.alive() {
			in.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs kept in", w.dir)
	}
}

type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu,omitempty"`
	MemMB      int64  `json:"memMb,omitempty"`
	GPU        int64  `json:"gpu,omitempty"`
	EstimateMs int64  `json:"estimateMs,omitempty"`
	After      []int  `json:"after,omitempty"`
	Label      string `json:"requiredLabel,omitempty"`
}

type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	MaxRuns     int    `json:"maxRuns,omitempty"`
	StartTimeMs int64  `json:"startTimeMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// newID returns a job's ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// know tells the runners what the job's work units need.
func (w *world) know(id string, j *job) {
	for i := range j.Steps {
		w.book.set(id, i, need{j.Steps[i].CPU, j.Steps[i].MemMB, j.Steps[i].GPU})
	}
}

// state returns the state of a job as an instance tells it.
func (w *world) state(in *instance, prefix, id string) (int, string) {
	status, text := w.call(in, http.MethodGet, prefix+id, nil, 3*time.Second)
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &s)
	return status, s.State
}

// all returns all starts.
func (r *recorder) all() []startOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]startOf(nil), r.starts...)
}
