package share

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

// Paths on which an entry answers the system's other processes.
const (
	// ConfigurationPath serves the configuration, compressed, if it is newer
	// than the version asked with.
	ConfigurationPath = "/v1/configuration"
	// WeightsPath serves the named weight versions with their ages.
	WeightsPath = "/v1/weights"
	// TargetPath serves what an agent needs: services without routes, and
	// named weights.
	TargetPath = "/v1/target"
	// MembersPath serves the known members.
	MembersPath = "/v1/members"
)

// NamedWeights are the named versions by model.
type NamedWeights map[string]map[int64]gateway.PublishedAge

// Target is what an agent needs of the operator's records.
type Target struct {
	Services []route.Service `json:"services"`
	Weights  NamedWeights    `json:"weights"`
}

// packed is the compressed configuration of one version.
type packed struct {
	version int64
	bytes   []byte
}

// Handler answers the system's other processes.
func (s *Sharer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(ConfigurationPath, s.serveConfiguration)
	mux.HandleFunc(WeightsPath, func(w http.ResponseWriter, _ *http.Request) { answer(w, s.weights()) })
	mux.HandleFunc(TargetPath, s.serveTarget)
	mux.HandleFunc(MembersPath, s.serveMembers)
	return mux
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The asking process asks again if it doesn't get the answer.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Sharer) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	than, err := strconv.ParseInt(r.URL.Query().Get("newer_than"), 10, 64)
	if err != nil {
		http.Error(w, "newer_than is a whole number", http.StatusBadRequest)
		return
	}
	table := s.cfg.Gateway.Table()
	if table == nil || table.Version() <= than {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := s.pack(table)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// The asking process asks again if it doesn't get the answer.
	_, _ = w.Write(body)
}

// pack compresses a configuration once for all that ask: it shrinks to a
// tenth, and a large one would fill the link of a small VM for a second.
func (s *Sharer) pack(table *route.Table) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed.version == table.Version() {
		return s.packed.bytes, nil
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(table.Configuration()); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	s.packed = packed{table.Version(), b.Bytes()}
	return s.packed.bytes, nil
}

func (s *Sharer) weights() NamedWeights {
	return s.cfg.Gateway.PublishedWeights()
}

func (s *Sharer) serveTarget(w http.ResponseWriter, _ *http.Request) {
	table := s.cfg.Gateway.Table()
	if table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer(w, Target{Services: table.Configuration().Services, Weights: s.weights()})
}

func (s *Sharer) serveMembers(w http.ResponseWriter, _ *http.Request) {
	members := append(s.cfg.Mesh.Members(mesh.Entry), s.cfg.Mesh.Members(mesh.Agent)...)
	answer(w, append(members, s.cfg.Self))
}

// age returns the duration of an age in milliseconds.
func age(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
