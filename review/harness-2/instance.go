package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The command of deploy/system.toml.
const (
	program     = "target/lentilwinch-poold"
	metricsFlag = "9464/metrics"
)

// settingsText is the settings file of an instance, with the bounds of the installation
// crossbar-lw.
const settingsText = `node=%[1]s
role=instance
machineClass=front
serves=front,control
ip=%[2]s
zone=%[3]s
region=region-a
zones.zone-a=region-a
zones.zone-b=region-a
listen.front=%[4]s
listen.ready=%[5]s
listen.control=%[6]s
internalPorts=7000,7015
seeds=%[7]s
bootstrap=true
inTolerance=true
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
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
bounds.stopMs=900
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.farX=3
bounds.checkpointIntervalS=1
bounds.restoreMs=600
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.requireFencing=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.paceMs=100
bounds.harmMs=4000
bounds.reclaimMs=3400
orders=call
advice=%[8]s
platform.address=%[9]s
platform.form=table
platform.writesPerS=600
platform.readsPerS=2000
platform.txMs=8.0
platform.partWritesPerS=150
platform.rowBytes=65536
platform.across=false
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbPerS=80.0
`

// instance is one process of the scheduler.
type instance struct {
	name, front, ready string
	command            *exec.Cmd
	ended              chan struct{}
	terminated         bool // it has been told to end
}

// freePort returns an address on ip that was free a moment ago.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startInstances starts one instance on each of ips, with files in dir. The working
// directory has to be the repository's root.
func startInstances(dir string, ips []string, storeAddress, policyAddress string) ([]*instance, error) {
	addresses := make([][3]string, len(ips)) // front, ready, control
	var controls []string
	for i, ip := range ips {
		for k := range addresses[i] {
			a, err := freePort(ip)
			if err != nil {
				return nil, err
			}
			addresses[i][k] = a
		}
		controls = append(controls, addresses[i][2])
	}
	var out []*instance
	for i, ip := range ips {
		name := fmt.Sprintf("front-%d", i+1)
		zone := []string{"zone-a", "zone-b"}[i%2]
		a := addresses[i]
		text := fmt.Sprintf(settingsText, name, ip, zone, a[0], a[1], a[2], strings.Join(controls[:min(3, len(controls))], ","), policyAddress, storeAddress)
		path := filepath.Join(dir, name+".conf")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return out, err
		}
		log, err := os.Create(filepath.Join(dir, name+".log"))
		if err != nil {
			return out, err
		}
		in := &instance{name: name, front: a[0], ready: a[1], ended: make(chan struct{})}
		in.command = exec.Command(program, "-metrics", metricsFlag)
		in.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "LENTILWINCH_BOOT=" + path}
		in.command.Stdout, in.command.Stderr = log, log
		if err := in.command.Start(); err != nil {
			return out, err
		}
		out = append(out, in)
		go func() {
			_ = in.command.Wait() // its end is an error in any case
			_ = log.Close()
			close(in.ended)
		}()
	}
	return out, nil
}

// terminate tells the process to end, as the platform does around planned work.
func (in *instance) terminate() error {
	in.terminated = true
	return in.command.Process.Signal(syscall.SIGTERM)
}

func (in *instance) hasEnded() bool {
	select {
	case <-in.ended:
		return true
	default:
		return false
	}
}

// stop ends the process and waits for it.
func (in *instance) stop() {
	_ = in.command.Process.Kill() // fails only if it has ended
	<-in.ended
}

// owner returns the instance that was the last to gain the pool, by the logs.
func (w *world) owner() (*instance, error) {
	var owner *instance
	last := ""
	for _, in := range w.instances {
		text, err := os.ReadFile(filepath.Join(w.dir, in.name+".log"))
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(text), "\n") {
			var entry struct{ Ts, Msg string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "ownership gained" && entry.Ts > last {
				owner, last = in, entry.Ts
			}
		}
	}
	if owner == nil {
		return nil, fmt.Errorf("no instance owns the pool")
	}
	return owner, nil
}

// awaitReady waits until the instance says that it is ready.
func (in *instance) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil && !in.hasEnded() {
		resp, err := http.Get("http://" + in.ready + "/api/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", in.name)
}
