// Package memberlist is a stand-in for the platform's membership list.
package memberlist

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// maxBodyBytes bounds one member.
const maxBodyBytes = 64 << 10

// List is an in-memory membership list.
type List struct {
	mu   sync.Mutex
	list wire.Members
	// lag is how old the list is that readers get.
	lag time.Duration
	// past holds the states of the list, oldest first.
	past []state
}

// state is the list as it was from a time on.
type state struct {
	from time.Time
	list wire.Members
}

// Lag is the body of POST /lag.
type Lag struct {
	// MS is the age of the list that readers get, in milliseconds.
	MS int64 `json:"ms"`
}

// New returns an empty list.
func New() *List {
	l := &List{list: wire.Members{Version: 1, Members: []wire.Member{}}}
	l.past = []state{{from: time.Time{}, list: l.list}}
	return l
}

// Put adds a member or replaces it.
func (l *List) Put(m wire.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(m.ID)
	l.list.Members = append(l.list.Members, m)
	l.changed()
}

// Remove drops a member.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
	l.changed()
}

// SetLag makes readers get a list of that age.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *List) remove(id string) {
	l.list.Members = slices.DeleteFunc(slices.Clone(l.list.Members), func(m wire.Member) bool { return m.ID == id })
}

// maxPast bounds the states that are kept for a lagging list.
const maxPast = 256

func (l *List) changed() {
	l.list.Version++
	kept := l.list
	kept.Members = slices.Clone(kept.Members)
	l.past = append(l.past, state{from: time.Now(), list: kept})
	if len(l.past) > maxPast {
		l.past = slices.Delete(l.past, 0, 1)
	}
}

// at returns the list as it was at the time.
func (l *List) at(t time.Time) wire.Members {
	found := l.past[0].list
	for _, s := range l.past {
		if !s.from.After(t) {
			found = s.list
		}
	}
	return found
}

// Handler returns the HTTP interface of the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/members", l.handleGet)
	mux.HandleFunc("POST /v1/members", func(w http.ResponseWriter, r *http.Request) {
		var m wire.Member
		if failure := wire.ReadJSON(r, maxBodyBytes, &m); failure != nil {
			wire.WriteError(w, *failure)
			return
		}
		l.Put(m)
		wire.WriteJSON(w, http.StatusOK, m)
	})
	mux.HandleFunc("DELETE /v1/members/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /lag", func(w http.ResponseWriter, r *http.Request) {
		var lag Lag
		if failure := wire.ReadJSON(r, maxBodyBytes, &lag); failure != nil {
			wire.WriteError(w, *failure)
			return
		}
		l.SetLag(time.Duration(lag.MS) * time.Millisecond)
		wire.WriteJSON(w, http.StatusOK, lag)
	})
	return mux
}

// handleGet answers conditional requests and compresses the list.
func (l *List) handleGet(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	list := l.at(time.Now().Add(-l.lag))
	l.mu.Unlock()
	tag := fmt.Sprintf(`"%d"`, list.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		wire.WriteJSON(w, http.StatusOK, list)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	zipped := gzip.NewWriter(w)
	_ = json.NewEncoder(zipped).Encode(list)
	_ = zipped.Close()
}
