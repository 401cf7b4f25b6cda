// Package control contains the shared parts of the stand-ins' HTTP control
// endpoints: strict JSON decoding, servers with limits and the ready line.
package control

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// maxDocumentBytes bounds a request document.
const maxDocumentBytes = 8 << 20

// ErrorDocument is the response to an invalid document.
type ErrorDocument struct {
	Error string `json:"error"`
}

// ReadDocument decodes the request's JSON document into v. If the document is
// invalid, it writes an error response and returns false. Unknown fields, data
// after the document and more than maxDocumentBytes are invalid.
func ReadDocument(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		WriteError(w, err)
		return false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		WriteError(w, fault.New(fault.Invalid, "data after the JSON document"))
		return false
	}
	return true
}

// WriteError responds with status 400 and the error.
func WriteError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(ErrorDocument{Error: err.Error()})
}

// WriteDocument responds with a JSON document.
func WriteDocument(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHealth responds to a health check with status 200.
func ServeHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// Ready is the line that a stand-in prints when it is ready to serve.
type Ready struct {
	Event string `json:"event"`
	// Address is the host:port of the control endpoints.
	Address string `json:"address"`
	// Servers are the addresses of the backend servers.
	Servers []string `json:"servers,omitempty"`
}

// PrintReady writes the ready line to w. It fails with fault.Internal.
func PrintReady(w io.Writer, address string, servers ...string) error {
	ready := Ready{Event: "ready", Address: address, Servers: servers}
	if err := json.NewEncoder(w).Encode(ready); err != nil {
		return fault.Wrap(fault.Internal, "print ready line", err)
	}
	return nil
}
