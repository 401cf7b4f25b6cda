package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The command of deploy/system.toml.
const (
	program     = "target/lentilwinch-poold"
	programArgs = "-metrics 9464/metrics"
)

// host is the host name of all routes.
const host = "nony24.example"

// Instance is one process of the project with its settings file.
type Instance struct {
	site     *Site
	name     string
	ip       string
	front    string
	ready    string
	gate     *Gate
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// Site is a small deployment: a store, runners and instances.
type Site struct {
	rec       *Record
	store     *Store
	root      string
	temp      string
	instances []*Instance
	client    *http.Client
	version   int
}

// NewSite returns a site without instances. root is the repository.
func NewSite(rec *Record, store *Store, root, temp string) *Site {
	return &Site{rec: rec, store: store, root: root, temp: temp, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// freeIP returns a loopback address whose port for the metrics is free.
func freeIP(n int) string {
	for k := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+k, 10+n)
		if l, err := net.Listen("tcp", ip+":9464"); err == nil {
			_ = l.Close()
			return ip
		}
	}
	panic("no free loopback address")
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// AddInstances writes the settings of n instances and starts them.
func (s *Site) AddInstances(n int) {
	var controls []string
	for i := range n {
		ip := freeIP(i)
		in := &Instance{site: s, name: fmt.Sprintf("front-zone-a-%d", i+1), ip: ip, front: freePort(ip), ready: freePort(ip)}
		in.gate = s.store.NewGate(in.name)
		controls = append(controls, freePort(ip))
		s.instances = append(s.instances, in)
	}
	for i, in := range s.instances {
		in.settings = filepath.Join(s.temp, in.name+".conf")
		text := in.settingsText(controls[i], controls[:min(3, n)])
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
		log, err := os.Create(filepath.Join(s.temp, in.name+".log"))
		if err != nil {
			panic(err)
		}
		in.log = log
		in.Start()
	}
}

// settingsText follows the example of DEPLOY.md with the bounds of the site file
// crossbar-lw.
func (in *Instance) settingsText(control string, seeds []string) string {
	lines := []string{
		"node=" + in.name, "role=instance", "machineClass=front", "serves=front,control", "ip=" + in.ip, "zone=zone-a", "region=region-a",
		"zones.zone-a=region-a", "listen.front=" + in.front, "listen.ready=" + in.ready, "listen.control=" + control,
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "inTolerance=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
		"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.recoveryS=12", "bounds.holdMaxMs=10000", "bounds.stopMs=900",
		"bounds.gangMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
		"bounds.status_s=120", "bounds.farX=3", "bounds.checkpointIntervalS=1", "bounds.restoreMs=600", "bounds.noticeMs=4500",
		"bounds.moveS=1.5", "bounds.upkeepS=2", "bounds.requireFencing=false", "bounds.leaseMs=3000", "bounds.thawSlackMs=300",
		"bounds.paceMs=100", "bounds.harmMs=4000", "bounds.reclaimMs=3400", "orders=call",
		"platform.address=" + in.gate.address, "platform.form=table", "platform.writesPerS=600", "platform.readsPerS=2000", "platform.txMs=8.0",
		"platform.partWritesPerS=150", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20",
	}
	return strings.Join(lines, "\n") + "\n"
}

// Start starts the process with the command of the deploy file.
func (in *Instance) Start() {
	in.mu.Lock()
	defer in.mu.Unlock()
	cmd := exec.Command(filepath.Join(in.site.root, program), strings.Fields(programArgs)...)
	cmd.Dir = in.site.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILWINCH_BOOT=" + in.settings}
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	in.site.rec.Log("instance %s started", in.name)
	in.process, in.exited = cmd, make(chan struct{})
	exited := in.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// Kill sends SIGKILL to the process and waits for its end.
func (in *Instance) Kill() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process == nil {
		return
	}
	_ = in.process.Process.Kill()
	<-in.exited
	in.process = nil
	in.site.rec.Log("instance %s killed", in.name)
}

// Close ends all processes.
func (s *Site) Close() {
	for _, in := range s.instances {
		in.Kill()
	}
}

// route is a queue of the manifest.
type route struct {
	Host             string  `json:"host"`
	Prefix           string  `json:"prefix"`
	Backend          string  `json:"backend"`
	Priority         int     `json:"priority"`
	MaxAttempts      int     `json:"maxAttempts"`
	Stretch          float64 `json:"stretch"`
	TargetDurationMs int     `json:"targetDurationMs"`
}

// Configure writes the next manifest.
func (s *Site) Configure(services []string, routes ...route) {
	s.version += 3
	backends := []map[string]any{}
	for _, name := range services {
		backends = append(backends, map[string]any{"name": name, "enforcesCapacity": true})
	}
	for i := range routes {
		routes[i].Host, routes[i].MaxAttempts, routes[i].Stretch, routes[i].TargetDurationMs = host, 3, 3, 1000
	}
	s.store.Put("op", "config", map[string]any{
		"version": s.version, "routes": routes, "backends": backends, "limits": map[string]any{"maxBodyBytes": 262144},
		"tenants": []map[string]any{{"name": "team", "apiKeys": []string{"key-1"}, "guaranteed": map[string]any{"gpu": 16}}},
	})
	s.rec.Log("operator: manifest %d", s.version)
}

// Call sends a consumer's request with a deadline of 3 s. The status is 0 if the
// answer is missing or incomplete.
func (in *Instance) Call(method, path, body string) (int, string) {
	return in.CallWithin(3*time.Second, method, path, body)
}

// CallWithin is Call by a consumer that breaks the channel off after a time.
func (in *Instance) CallWithin(patience time.Duration, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Api-Key", "key-1")
	req.Header.Set("Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := in.site.client.Do(req)
	if err != nil {
		in.site.rec.Log("consumer: %s %s at %s: no answer", method, path, in.name)
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		in.site.rec.Log("consumer: %s %s at %s: incomplete answer", method, path, in.name)
		return 0, ""
	}
	in.site.rec.Log("consumer: %s %s at %s: %d %s", method, path, in.name, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// Ready reports whether the instance answers its readiness check with 200.
func (in *Instance) Ready() bool {
	resp, err := in.site.client.Get("http://" + in.ready + "/api/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready. It reports false after 15 s.
func (s *Site) AwaitReady() bool {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, in := range s.instances {
			ready = ready && in.Ready()
		}
		if ready {
			s.rec.Log("all instances are ready")
			return true
		}
	}
	return false
}

// Submit hands a job in as a consumer does: up to 5 tries at different instances
// after no answer, 502, 503, 504 or 429. It reports whether one was answered with success.
func (s *Site) Submit(first int, path, body string) bool {
	for try := range 5 {
		status, _ := s.instances[(first+try)%len(s.instances)].Call(http.MethodPost, path, body)
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// table is the project's own table in the store, and heartbeatKey the key under
// which the owner of a service writes its name.
const (
	table        = "lentilwinch"
	heartbeatKey = "beat"
)

// Owner returns the instance that last wrote the service's heartbeat.
func (s *Site) Owner(service string) *Instance {
	name := string(s.store.Get(table, service, heartbeatKey))
	for _, in := range s.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}
