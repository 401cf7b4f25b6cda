package httpclient

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"

	"connectrpc.com/connect"
)

// maxErrorBytes bounds the body of an error response.
const maxErrorBytes = 64 << 10

// nonConnectType is the content type set on error responses that did not come
// from the server itself, so that connect doesn't parse them as connect errors.
const nonConnectType = "text/plain"

// connectCode decodes the error code from connect's JSON error format.
type connectCode struct {
	Code connect.Code `json:"code"`
}

// relabelNonConnectError relabels a JSON error response that has no connect code.
// Otherwise connect would infer a code from the HTTP status and mistake a gateway's
// 503 for the server's statement that the request had no effect. It fails if the
// body can't be read, and with *OversizedError if it exceeds maxErrorBytes.
func relabelNonConnectError(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK || !isJSON(resp.Header) {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes+1))
	// The error is ignored because the body was read or is not used.
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	if len(body) > maxErrorBytes {
		return &OversizedError{MaxBytes: maxErrorBytes}
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	var parsed connectCode
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Code == 0 {
		resp.Header.Set("Content-Type", nonConnectType)
	}
	return nil
}

func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "application/json"
}
