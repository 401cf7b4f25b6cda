package fake

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// firstPort and lastPort bound the addresses that are handed out. They lie below
// those that outgoing connections take: an instance that was stopped must find
// its port free when it starts again.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// portStride spreads the processes that run tests side by side over the ports.
const portStride = 997

var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}

// FreeAddress returns a loopback address on which nothing listens.
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
			continue // taken
		}
		if err := l.Close(); err != nil {
			return "", fault.Wrap(fault.Internal, "close "+address, err)
		}
		return address, nil
	}
	return "", fault.New(fault.Unavailable, "no free port")
}
