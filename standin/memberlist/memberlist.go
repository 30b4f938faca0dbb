// Package memberlist is a stand-in for the platform's membership list.
package memberlist

import (
	"net/http"
	"slices"
	"sync"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// maxBodyBytes bounds one member.
const maxBodyBytes = 64 << 10

// List is an in-memory membership list.
type List struct {
	mu   sync.Mutex
	list wire.Members
}

// New returns an empty list.
func New() *List {
	return &List{list: wire.Members{Version: 1, Members: []wire.Member{}}}
}

// Put adds a member or replaces it.
func (l *List) Put(m wire.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(m.ID)
	l.list.Members = append(l.list.Members, m)
	l.list.Version++
}

// Remove drops a member.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
	l.list.Version++
}

func (l *List) remove(id string) {
	l.list.Members = slices.DeleteFunc(slices.Clone(l.list.Members), func(m wire.Member) bool { return m.ID == id })
}

// Handler returns the HTTP interface of the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		list := l.list
		l.mu.Unlock()
		wire.WriteJSON(w, http.StatusOK, list)
	})
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
	return mux
}
