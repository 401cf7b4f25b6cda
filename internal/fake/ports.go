package fake

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// firstPort and lastPort bound the ports that FreeAddress returns, lastPort itself
// excluded. They lie below the ephemeral ports of outgoing connections, so that an
// instance that restarts finds its port free.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// portBlock is the number of ports that an allocator reserves at once, the guard
// port included.
const portBlock = 50

// portAllocator returns each port at most once. It reserves ports in blocks against
// the allocators of other processes: it listens on the first port of a block, the
// guard port, for as long as the process lives. A check whether a port has a listener
// isn't enough: another test would get the port of an instance that is down, and its
// callers would reach the wrong program.
type portAllocator struct {
	mu        sync.Mutex
	guards    []net.Listener
	nextBlock int // first port of the next block to try
	next      int // next port of the reserved block
	blockEnd  int // end of the reserved block, excluded
}

var processPorts = newPortAllocator()

func newPortAllocator() *portAllocator { return &portAllocator{nextBlock: firstPort} }

// FreeAddress returns a loopback address without a listener that no other process
// that uses this function returns as long as this process lives. It fails with
// fault.Unavailable if no port is free, and with fault.Internal if the listener
// that it opens as a check can't be closed.
func FreeAddress() (string, error) { return processPorts.freeAddress() }

func (p *portAllocator) freeAddress() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.next < p.blockEnd || p.reserveBlock() {
		address := loopback(p.next)
		p.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use by another program
		}
		if err := l.Close(); err != nil {
			return "", fault.Wrap(fault.Internal, "close "+address, err)
		}
		return address, nil
	}
	return "", fault.New(fault.Unavailable, fmt.Sprintf("no free block of ports between %d and %d", firstPort, lastPort))
}

// reserveBlock reserves the next block whose guard port is free. It returns false if
// there is none.
func (p *portAllocator) reserveBlock() bool {
	for p.nextBlock+portBlock <= lastPort {
		start := p.nextBlock
		guard, err := net.Listen("tcp", loopback(start))
		if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			return false // the block may be free
		}
		p.nextBlock += portBlock
		if err != nil {
			continue // reserved by another process
		}
		p.guards = append(p.guards, guard)
		p.next, p.blockEnd = start+1, start+portBlock
		return true
	}
	return false
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
