package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Latencies of the store: a read takes 4 ms and a transaction 8 ms, as in the settings
// of the pages.
const (
	readLatency = 4 * time.Millisecond
	txnLatency  = 8 * time.Millisecond
	maxRows     = 500 // of one response to rows-get
)

type rowKey struct{ table, part, key string }

// wireRow is a row as the store's calls carry it. A value is base64 in JSON.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *wireRow) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	began time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]wireRow
	history []wireRow     // every change, by version
	changed chan struct{} // closed by the next change
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]wireRow{}, changed: make(chan struct{})}
}

// nowMs is the store's steady clock.
func (s *store) nowMs() int64 { return 50_000 + time.Since(s.began).Milliseconds() }

// apply performs puts and removals as one transaction. The lock must be held.
func (s *store) apply(puts, remove []wireRow) {
	s.ver++
	for _, r := range puts {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.rowKey()] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		if _, ok := s.rows[r.rowKey()]; !ok {
			continue
		}
		delete(s.rows, r.rowKey())
		s.history = append(s.history, wireRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]wireRow{{Table: table, Key: key, Value: text}}, nil)
}

// remove deletes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []wireRow{{Table: table, Key: key}})
}

// serve listens on a free port of ip and returns the address.
func (s *store) serve(ip string) (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, mux) }() // runs until the process ends
	return l.Addr().String(), nil
}

type txBody struct {
	ExpectedRev []wireRow `json:"expectedRev"`
	Puts        []wireRow `json:"puts"`
	Remove      []wireRow `json:"remove"`
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var b txBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(b.ExpectedRev)+len(b.Puts)+len(b.Remove) > 100 {
		http.Error(w, "more than 100 entries", http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]wireRow{}, b.Puts...), b.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "the table is not the system's", http.StatusForbidden)
			return
		}
	}
	time.Sleep(txnLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []wireRow{}
	for _, e := range b.ExpectedRev {
		row, ok := s.rows[e.rowKey()]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Ver != e.Ver
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.nowMs()})
		return
	}
	s.apply(b.Puts, b.Remove)
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []wireRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": s.nowMs()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") && !seen[k.part] {
			seen[k.part] = true
			parts = append(parts, k.part)
		}
	}
	sort.Strings(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "hasMore": false, "ver": s.ver, "nowMs": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs")) // 0 if there is none
	deadline := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		rows := []wireRow{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, row := range s.history[first:] {
			if row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "nowMs": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the caller may have left
}
