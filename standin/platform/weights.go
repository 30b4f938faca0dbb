package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

const (
	// Pieces and pieceRepeats size a version: 16 pieces of about 20 KB.
	Pieces       = 16
	pieceRepeats = 800
)

// Piece returns the bytes of a piece.
func Piece(version int64, number int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("v%d piece %d, some weights;", version, number), pieceRepeats))
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Origin is the origin of weights of one model.
type Origin struct {
	mu     sync.Mutex
	newest int64
	down   bool
	// corrupt turns every so many-th piece bad; 0 none.
	corrupt int
	sent    int
	// shortLists is the number of lists of digests to send without their last one.
	shortLists int
}

// NewOrigin returns an origin whose newest version is 1.
func NewOrigin() *Origin { return &Origin{newest: 1} }

// Name sets the newest version.
func (o *Origin) Name(version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

// SetDown breaks every connection.
func (o *Origin) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// SetCorrupt turns every n-th piece bad.
func (o *Origin) SetCorrupt(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corrupt = n
}

// ShortenLists sends the next lists of digests without their last one.
func (o *Origin) ShortenLists(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shortLists = n
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		panic(http.ErrAbortHandler)
	}
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		version = o.newest
	}
	if version < o.newest-1 {
		w.WriteHeader(http.StatusGone)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/v1/manifest/") {
		digests := make([]string, Pieces)
		for n := range digests {
			digests[n] = digest(Piece(version, n))
		}
		if o.shortLists > 0 {
			o.shortLists--
			digests = digests[:Pieces-1]
		}
		writeJSON(w, map[string]any{"model": strings.TrimPrefix(r.URL.Path, "/v1/manifest/"), "version": version, "layers": Pieces, "digests": digests})
		return
	}
	number, _ := strconv.Atoi(r.URL.Query().Get("number"))
	data := Piece(version, number)
	if o.sent++; o.corrupt > 0 && o.sent%o.corrupt == 0 {
		data = append([]byte("bad"), data...)
	}
	// A caller that left asks again.
	_, _ = w.Write(data)
}
