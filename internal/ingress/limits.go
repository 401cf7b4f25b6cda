package ingress

import "time"

const (
	// smallBodyBytes is the size up to which bodies are never refused while any of the
	// budget is left. Ordinary submissions have some hundred bytes.
	smallBodyBytes = 16 << 10
	// stallTimeout is how long a body may make no progress. Callers wait 3 s by
	// default, so that no body sent within that time reaches it.
	stallTimeout = 10 * time.Second
	// maxHeaderBytes limits the header of a request, and maxHeaderLines its lines. A
	// parsed line takes about 100 bytes more than its text.
	maxHeaderBytes = 16 << 10
	maxHeaderLines = 100
	// receiveBufferBytes is the size of a connection's receive buffer. It holds what has
	// arrived but wasn't read yet, which counts towards the memory of the process. It
	// allows 1.6 MB/s at a round trip of 20 ms.
	receiveBufferBytes = 32 << 10
	// connBytes is the memory of a connection without its receive buffer: 4 KB each for
	// reading and writing, the goroutine's stack and the parsed header.
	connBytes = 24 << 10

	// Shares of the process's memory. The rest is for the process itself, and for
	// garbage that hasn't been collected yet.
	receivingShare  = 9
	processingShare = 6
	heldShare       = 4
	connsShare      = 6
)

// Limits are the bounds of a process.
type Limits struct {
	// ReceivingBytes bounds the bodies that are being received or wait to be processed.
	ReceivingBytes int64
	// ProcessingBytes bounds the memory that decoding and processing complete bodies
	// is expected to take.
	ProcessingBytes int64
	// HeldBytes bounds the decoded messages of calls that wait for their outcome.
	HeldBytes int64
	// Conns bounds the connections of all listeners by the memory that they take.
	Conns int
}

// Derive returns the limits of a process that has memoryBytes.
func Derive(memoryBytes int64) Limits {
	return Limits{
		ReceivingBytes:  memoryBytes / receivingShare,
		ProcessingBytes: memoryBytes / processingShare,
		HeldBytes:       memoryBytes / heldShare,
		Conns:           max(int(memoryBytes/connsShare/(receiveBufferBytes+connBytes)), 1),
	}
}

// MemoryLimit returns the soft limit from which the garbage collector runs more often.
// It doesn't count the program itself, some 20 MB, and the receive buffers.
func MemoryLimit(memoryBytes int64) int64 { return memoryBytes / 8 * 5 }
