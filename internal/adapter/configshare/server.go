package configshare

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// maxAge is the age from which a reading isn't offered. An instance that the store
	// serves reads at least once a second.
	maxAge = 3 * time.Second
	// catchUpWait is how long a response waits, at least, for the version that the reader
	// has read up to. It exceeds the wait of the instance's own watch call.
	catchUpWait = 1200 * time.Millisecond
)

// Server offers the configuration that this instance has read from the store. It is safe
// for concurrent use.
type Server struct {
	now func() time.Duration
	log *zap.Logger

	mu      sync.Mutex
	reading *reading      // nil while there is nothing to offer
	changed chan struct{} // closed and replaced when reading is
}

// reading is what was read from the store at readAt.
type reading struct {
	config    *work.Config
	encoded   *encoded // of config; shared by readings of the same one
	evacuated map[string]int64
	// evacuatedVersion is the store's version from which no other domains have been read.
	evacuatedVersion int64
	version          int64
	readAt           time.Duration
	// direct is set while this instance reads from the store itself. Otherwise it has only
	// news to offer, and another instance should confirm that there are none.
	direct bool
}

// encoded encodes a configuration once, when it is first needed.
type encoded struct {
	once sync.Once
	data []byte
	err  error
}

// NewServer returns a server without an offer. now is a monotonic clock that includes time
// spent suspended.
func NewServer(now func() time.Duration, log *zap.Logger) *Server {
	return &Server{now: now, log: log, changed: make(chan struct{})}
}

// Publish offers a configuration and the evacuated failure domains, which were read from the
// store at readAt, by this instance if direct is set, else by another one. They aren't
// modified.
func (s *Server) Publish(config *work.Config, evacuated map[string]int64, version int64, readAt time.Duration, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &reading{config, &encoded{}, evacuated, version, version, readAt, direct}
	if last := s.reading; last != nil {
		if last.config == config {
			next.encoded = last.encoded
		}
		if maps.Equal(last.evacuated, evacuated) {
			next.evacuatedVersion = last.evacuatedVersion
		}
	}
	s.set(next)
}

// ReadingFailed tells that this instance doesn't read from the store now.
func (s *Server) ReadingFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading != nil && s.reading.direct {
		next := *s.reading
		next.direct = false
		s.set(&next)
	}
}

// Withdraw ends the offer, as the newest configuration can't be used.
func (s *Server) Withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading != nil {
		s.set(nil)
	}
}

// set replaces the reading. The caller holds s.mu.
func (s *Server) set(r *reading) {
	s.reading = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) current() (*reading, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading, s.changed
}

// request holds the parameters of a request.
type request struct {
	after, have int64
	hasConfig   bool
	wait        time.Duration
}

func parseRequest(q url.Values) (request, error) {
	var r request
	var err error
	if r.after, err = strconv.ParseInt(q.Get(paramAfter), 10, 64); err != nil {
		return r, fault.Wrap(fault.Invalid, paramAfter, err)
	}
	if r.hasConfig = q.Has(paramHave); r.hasConfig {
		if r.have, err = strconv.ParseInt(q.Get(paramHave), 10, 64); err != nil {
			return r, fault.Wrap(fault.Invalid, paramHave, err)
		}
	}
	ms, err := strconv.ParseUint(q.Get(paramWaitMs), 10, 16)
	if err != nil {
		return r, fault.Wrap(fault.Invalid, paramWaitMs, err)
	}
	r.wait = time.Duration(ms) * time.Millisecond
	return r, nil
}

// ServeHTTP implements http.Handler. It responds with 503 if this instance has no recent
// reading, or one that is older than what the reader has read.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := parseRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	read := s.await(r.Context(), req)
	if read == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response := offer{Version: read.version, Evacuated: read.evacuated}
	if read.isNewFor(req) {
		read.encoded.once.Do(func() { read.encoded.data, read.encoded.err = encodeConfig(read.config) })
		if read.encoded.err != nil {
			s.log.Error("configuration can't be shared", zap.Error(read.encoded.err))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		response.Config = read.encoded.data
	}
	response.Age = s.now() - read.readAt
	body, err := cbor.Marshal(response)
	if err != nil {
		s.log.Error("configuration can't be shared", zap.Error(err))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		s.log.Info("shared configuration can't be written", zap.String("peer", r.RemoteAddr), zap.Int("size", len(body)), zap.Error(err))
	}
}

// await waits for a reading with a change and returns the last one, nil if there is none
// that the reader can use.
func (s *Server) await(ctx context.Context, req request) *reading {
	ctx, cancel := context.WithTimeout(ctx, max(req.wait, catchUpWait))
	defer cancel()
	waited := time.NewTimer(req.wait)
	defer waited.Stop()
	mayWait := true
	for {
		read, changed := s.current()
		if read == nil || s.now()-read.readAt > maxAge {
			return nil
		}
		if !read.direct && !read.isNewFor(req) {
			return nil
		}
		caughtUp := read.version >= req.after
		if caughtUp && (!mayWait || read.hasChangedFor(req)) {
			return read
		}
		select {
		case <-changed:
		case <-waited.C:
			mayWait = false
		case <-ctx.Done():
			if caughtUp {
				return read
			}
			return nil
		}
	}
}

// isNewFor reports whether the reader needs the configuration.
func (r *reading) isNewFor(req request) bool { return !req.hasConfig || r.config.Version > req.have }

// hasChangedFor reports whether the reader has to know of this reading at once.
func (r *reading) hasChangedFor(req request) bool {
	return r.isNewFor(req) || r.evacuatedVersion > req.after
}
