package backend

import (
	"bytes"
	"maps"
	"net/http"
	"strings"

	"github.com/lentilwinch/lentilwinch/gen/backend/v1/backendv1connect"
)

// corruptAnswers truncates or duplicates the answers to execute calls while the
// faults Truncate or Duplicate are set.
func (s *Server) corruptAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.backend.Faults()
		isExecute := r.URL.Path == backendv1connect.BackendServiceExecuteProcedure
		if !isExecute || !f.Truncate && !f.Duplicate {
			h.ServeHTTP(w, r)
			return
		}
		recorded := &recordedAnswer{header: make(http.Header), status: http.StatusOK}
		h.ServeHTTP(recorded, r)
		recorded.send(w, r, f.Truncate)
	})
}

// recordedAnswer buffers an answer instead of sending it.
type recordedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *recordedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *recordedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *recordedAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

// send writes the answer to the hijacked connection, either with half of its body
// or twice, and closes the connection.
func (a *recordedAnswer) send(w http.ResponseWriter, r *http.Request, truncate bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	raw := a.encode(r)
	if truncate {
		raw = raw[:len(raw)-(a.body.Len()+1)/2]
	} else {
		raw = append(raw, raw...)
	}
	// A failure means that the caller has disconnected.
	_, _ = conn.Write(raw)
}

// encode returns the answer as the bytes of an HTTP/1.1 response.
func (a *recordedAnswer) encode(r *http.Request) []byte {
	resp := http.Response{
		StatusCode:    a.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Request:       r,
		Header:        maps.Clone(a.header),
		ContentLength: int64(a.body.Len()),
		Body:          http.NoBody,
	}
	var encoded strings.Builder
	resp.Header.Del("Content-Length")
	resp.Body = readCloser{bytes.NewReader(a.body.Bytes())}
	// Writes to a strings.Builder don't fail.
	_ = resp.Write(&encoded)
	return []byte(encoded.String())
}

type readCloser struct{ *bytes.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }
