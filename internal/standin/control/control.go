// Package control holds what the stand-ins' HTTP controls share: strict JSON
// documents, bounded servers and the line that says that a stand-in is ready.
package control

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// maxDocumentBytes bounds a document.
const maxDocumentBytes = 8 << 20

// Problem is the answer to a refused document.
type Problem struct {
	Error string `json:"error"`
}

// Read reads the request's JSON document into v. It answers and returns false
// when the document is refused.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		Refuse(w, err)
		return false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		Refuse(w, fault.New(fault.Invalid, "more follows the document"))
		return false
	}
	return true
}

// Refuse answers that a document is refused.
func Refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(Problem{Error: err.Error()})
}

// Write answers with a JSON document.
func Write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Healthy answers a health check.
func Healthy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// Ready is the line that a stand-in prints once it serves.
type Ready struct {
	Event string `json:"event"`
	// Address is that of the controls, host:port.
	Address string `json:"address"`
	// Servers are the addresses of the backend servers.
	Servers []string `json:"servers,omitempty"`
}

// PrintReady prints the line.
func PrintReady(w io.Writer, address string, servers ...string) error {
	ready := Ready{Event: "ready", Address: address, Servers: servers}
	if err := json.NewEncoder(w).Encode(ready); err != nil {
		return fault.Wrap(fault.Internal, "print ready line", err)
	}
	return nil
}
