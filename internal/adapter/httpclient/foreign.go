package httpclient

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"

	"connectrpc.com/connect"
)

// maxErrorBytes bounds the body of a failure.
const maxErrorBytes = 64 << 10

// foreignType is the content type given to failures that aren't the server's
// own, which connect then doesn't take for one.
const foreignType = "text/plain"

// wireCode is the part of connect's JSON form of a failure that names it.
type wireCode struct {
	Code connect.Code `json:"code"`
}

// rejectForeign relabels a failure that names no connect code. connect would
// guess one from the HTTP status, and so take a gateway's 503 for the word of
// the server that nothing was done.
func rejectForeign(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK || !isJSON(resp.Header) {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes+1))
	// The body was read to its end or is of no use.
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	if len(body) > maxErrorBytes {
		return &OversizedError{MaxBytes: maxErrorBytes}
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	var w wireCode
	if err := json.Unmarshal(body, &w); err != nil || w.Code == 0 {
		resp.Header.Set("Content-Type", foreignType)
	}
	return nil
}

func isJSON(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "application/json"
}
