package fake

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// firstPort and lastPort bound the ports that FreeAddress returns, lastPort itself
// excluded. They lie below the ephemeral ports of outgoing connections, so that an
// instance that restarts finds its port free.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// portStride spreads the concurrent test processes over the port range.
const portStride = 997

var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}

// FreeAddress returns a loopback address without a listener. It fails with
// fault.Unavailable if no port is free, and with fault.Internal if the listener
// that it opens as a check can't be closed.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range lastPort - firstPort {
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if err := l.Close(); err != nil {
			return "", fault.Wrap(fault.Internal, "close "+address, err)
		}
		return address, nil
	}
	return "", fault.New(fault.Unavailable, "no free port")
}
