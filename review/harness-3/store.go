package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Rates of the platform's store in sites/adama-willow.toml.
const (
	readTime  = 4 * time.Millisecond
	writeTime = 8 * time.Millisecond
)

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     *int64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *wireRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type rowID struct{ table, part, key string }

type row struct {
	value   []byte
	ver     int64
	deleted bool
}

type txn struct {
	ExpectedRev []wireRow `json:"expectedRev"`
	Puts        []wireRow `json:"puts"`
	Remove      []wireRow `json:"remove"`
}

// fate is what becomes of a transaction.
type fate struct {
	lost  bool          // the answer is lost
	after time.Duration // if it is lost, when the transaction is performed
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]*row
	ver     int64
	changed chan struct{}
	start   time.Time
	// decide is asked for the fate of each transaction; nil for no trouble.
	decide func(*txn) fate
	// delay is added to each answer, after it was made.
	delay func() time.Duration
	// oldest is the version from which on the history is kept. While isMute is set, feeds
	// hear of no changes; cut is closed to end them.
	oldest int64
	isMute bool
	cut    chan struct{}
}

func newStore() *store {
	return &store{rows: map[rowID]*row{}, changed: make(chan struct{}), cut: make(chan struct{}), start: time.Now()}
}

func (s *store) nowMs() int64 { return time.Since(s.start).Milliseconds() + 50_000 }

// apply performs a transaction, or returns the rows that conflict with it.
func (s *store) apply(t *txn) (int64, []wireRow, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	for i := range t.ExpectedRev {
		e := &t.ExpectedRev[i]
		have := int64(0)
		if r := s.rows[e.id()]; r != nil && !r.deleted {
			have = r.ver
		}
		if e.Ver == nil || *e.Ver != have {
			ok = false
		}
	}
	if !ok {
		var out []wireRow
		for i := range t.ExpectedRev {
			e := &t.ExpectedRev[i]
			if r := s.rows[e.id()]; r != nil && !r.deleted {
				ver := r.ver
				out = append(out, wireRow{Table: e.Table, Part: e.Part, Key: e.Key, Value: r.value, Ver: &ver})
			}
		}
		return s.ver, out, false
	}
	s.ver++
	for i := range t.Puts {
		s.rows[t.Puts[i].id()] = &row{value: t.Puts[i].Value, ver: s.ver}
	}
	for i := range t.Remove {
		if s.rows[t.Remove[i].id()] != nil {
			s.rows[t.Remove[i].id()] = &row{ver: s.ver, deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil, true
}

// compact has the feeds hear nothing for a second, then drops the history and cuts them.
func (s *store) compact() {
	s.mu.Lock()
	s.isMute = true
	s.mu.Unlock()
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isMute, s.oldest = false, s.ver
	close(s.cut)
	s.cut = make(chan struct{})
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(&txn{Puts: []wireRow{{Table: table, Key: key, Value: text}}})
}

func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	body["nowMs"] = s.nowMs()
	if s.delay != nil {
		if d := s.delay(); d > 0 {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// list returns the rows of a part in order of their keys, with those after a version only.
func (s *store) list(match func(rowID, *row) bool, byVersion bool) []wireRow {
	out := []wireRow{}
	for id, r := range s.rows {
		if match(id, r) {
			ver := r.ver
			out = append(out, wireRow{Table: id.table, Part: id.part, Key: id.key, Value: r.value, Ver: &ver, Deleted: r.deleted})
		}
	}
	slices.SortFunc(out, func(a, b wireRow) int {
		if byVersion && *a.Ver != *b.Ver {
			return int(*a.Ver - *b.Ver)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return out
}

const (
	pageRows  = 500
	pageBytes = 1 << 20
)

// page cuts rows to what one answer may hold.
func page(rows []wireRow, limit int) ([]wireRow, bool) {
	size := 0
	for i := range rows {
		size += len(rows[i].Value)*4/3 + 200
		if i == limit || i > 0 && size > pageBytes {
			return rows[:i], true
		}
	}
	return rows, false
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-tx":
		var t txn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.ExpectedRev)+len(t.Puts)+len(t.Remove) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		parts := map[string]bool{}
		for _, rows := range [][]wireRow{t.ExpectedRev, t.Puts, t.Remove} {
			for i := range rows {
				parts[rows[i].Part] = true
				if len(rows[i].Value) > 65536 || len(parts) > 1 {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
			}
		}
		var f fate
		if s.decide != nil {
			f = s.decide(&t)
		}
		if f.lost {
			time.AfterFunc(f.after, func() { s.apply(&t) })
			<-r.Context().Done() // nothing further is delivered on this channel
			panic(http.ErrAbortHandler)
		}
		time.Sleep(writeTime)
		ver, conflict, ok := s.apply(&t)
		if !ok {
			s.answer(w, r, http.StatusPreconditionFailed, map[string]any{"rows": conflict, "ver": ver})
			return
		}
		s.answer(w, r, http.StatusOK, map[string]any{"ver": ver})
	case "/api/rows-get":
		time.Sleep(readTime)
		limit := pageRows
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
			limit = min(limit, n)
		}
		s.mu.Lock()
		rows := s.list(func(id rowID, r *row) bool {
			return !r.deleted && id.table == q.Get("table") && id.part == q.Get("part") &&
				id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to"))
		}, false)
		ver := s.ver
		s.mu.Unlock()
		rows, more := page(rows, limit)
		s.answer(w, r, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": ver})
	case "/api/rows-parts":
		time.Sleep(readTime)
		s.mu.Lock()
		seen := map[string]bool{}
		for id, r := range s.rows {
			if id.table == q.Get("table") && !r.deleted && id.part > q.Get("after") {
				seen[id.part] = true
			}
		}
		ver := s.ver
		s.mu.Unlock()
		parts := []string{}
		for p := range seen {
			parts = append(parts, p)
		}
		slices.Sort(parts)
		s.answer(w, r, http.StatusOK, map[string]any{"parts": parts, "hasMore": false, "ver": ver})
	case "/api/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		time.Sleep(readTime)
		for {
			s.mu.Lock()
			rows := s.list(func(id rowID, r *row) bool { return id.table == q.Get("table") && r.ver > after }, true)
			ver, changed, cut, isMute, isGone := s.ver, s.changed, s.cut, s.isMute, after < s.oldest
			s.mu.Unlock()
			if isGone {
				w.WriteHeader(http.StatusGone)
				return
			}
			if isMute {
				rows, ver, changed = rows[:0], after, nil
			}
			if len(rows) > 0 {
				rows, more := page(rows, pageRows)
				if more {
					ver = *rows[len(rows)-1].Ver
				}
				s.answer(w, r, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
				return
			}
			select {
			case <-changed:
			case <-cut:
				panic(http.ErrAbortHandler)
			case <-timeout:
				s.answer(w, r, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
