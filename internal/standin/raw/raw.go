// Package raw implements a TCP server that sends scripted bytes, for tests of
// clients against servers that violate the protocol.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Server runs a script on each connection and then closes the connection.
type Server struct {
	listener net.Listener
	script   func(*Conn)
	accepted atomic.Int64
	requests atomic.Int64

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	goroutines sync.WaitGroup
}

// Conn is a connection with a buffered reader for requests.
type Conn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
}

// Listen starts a server on a free port of 127.0.0.1. It fails with
// fault.Unavailable.
func Listen(script func(*Conn)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "listen", err)
	}
	s := &Server{listener: l, script: script, conns: make(map[net.Conn]struct{})}
	s.goroutines.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the server's host:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int64 {
	return s.accepted.Load()
}

// Requests returns the number of complete requests that the scripts have read.
func (s *Server) Requests() int64 {
	return s.requests.Load()
}

// Close closes the listener and all connections and waits for the scripts to end.
func (s *Server) Close() {
	// An error means that the listener is already closed.
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.goroutines.Add(1)
		go s.run(c)
	}
}

func (s *Server) run(c net.Conn) {
	defer s.goroutines.Done()
	s.script(&Conn{Conn: c, server: s, reader: bufio.NewReader(c)})
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
}

// ReadRequest reads a request with its body and reports whether it was complete.
func (c *Conn) ReadRequest() bool {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	c.server.requests.Add(1)
	return true
}

// ReadByte implements io.ByteReader. A script can read one byte and return to close
// the connection in the middle of a request.
func (c *Conn) ReadByte() (byte, error) {
	return c.reader.ReadByte()
}

// Send writes bytes. It ignores errors, since the client may have disconnected.
func (c *Conn) Send(raw string) {
	_, _ = io.WriteString(c.Conn, raw)
}

// Drain discards incoming bytes until the connection is closed.
func (c *Conn) Drain() {
	_, _ = io.Copy(io.Discard, c.reader)
}

// Response returns the bytes of an HTTP/1.1 response.
func Response(status int, contentType, body string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	b.WriteString("Content-Type: " + contentType + "\r\n")
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.WriteString(body)
	return b.String()
}
