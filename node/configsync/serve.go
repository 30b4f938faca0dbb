package configsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

// Paths that an entry serves to the system's other processes.
const (
	// ConfigurationPath serves the compressed configuration if it is newer than
	// the version in the request.
	ConfigurationPath = "/v1/configuration"
	// WeightsPath serves the published weight versions with their ages.
	WeightsPath = "/v1/weights"
	// TargetPath serves the data that an agent needs: services without routes,
	// and published weight versions.
	TargetPath = "/v1/target"
	// MembersPath serves the known members.
	MembersPath = "/v1/members"
)

// PublishedWeights are the ages of the published weight versions, by model and
// version.
type PublishedWeights map[string]map[int64]gateway.PublishedAge

// Target is the part of the operator's records that an agent needs.
type Target struct {
	Services []route.Service  `json:"services"`
	Weights  PublishedWeights `json:"weights"`
}

// configurationAnswer is what an entry answers to a request for a configuration. One
// that starts must know which availability zones are evacuated before it is ready.
type configurationAnswer struct {
	route.Configuration
	Evacuations []evacuation.Notice `json:",omitempty"`
}

// compressedConfiguration is the compressed answer with the configuration of one version.
type compressedConfiguration struct {
	version     int64
	evacuations []evacuation.Notice
	bytes       []byte
}

// Handler serves the requests of the system's other processes.
func (s *Syncer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(ConfigurationPath, s.serveConfiguration)
	mux.HandleFunc(WeightsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.weights()) })
	mux.HandleFunc(TargetPath, s.serveTarget)
	mux.HandleFunc(MembersPath, s.serveMembers)
	return mux
}

// writeJSON writes v as the JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A process that does not get the response will retry.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Syncer) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	current, err := strconv.ParseInt(r.URL.Query().Get("newer_than"), 10, 64)
	if err != nil {
		http.Error(w, "newer_than must be an integer", http.StatusBadRequest)
		return
	}
	table := s.cfg.Gateway.Table()
	if table == nil || table.Version() <= current {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := s.compress(table)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A process that does not get the response will retry.
	_, _ = w.Write(body)
}

// compress compresses each version of the configuration once for all requests. The
// compressed size is a tenth of the original; uncompressed, a large configuration would
// occupy the link of a small VM for a second.
func (s *Syncer) compress(table *route.Table) ([]byte, error) {
	evacuations := s.cfg.Gateway.Evacuations()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compressed.version == table.Version() && slices.Equal(s.compressed.evacuations, evacuations) {
		return s.compressed.bytes, nil
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(configurationAnswer{table.Configuration(), evacuations}); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	s.compressed = compressedConfiguration{table.Version(), evacuations, b.Bytes()}
	return s.compressed.bytes, nil
}

func (s *Syncer) weights() PublishedWeights {
	return s.cfg.Gateway.PublishedWeights()
}

func (s *Syncer) serveTarget(w http.ResponseWriter, _ *http.Request) {
	table := s.cfg.Gateway.Table()
	if table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, Target{Services: table.Configuration().Services, Weights: s.weights()})
}

func (s *Syncer) serveMembers(w http.ResponseWriter, _ *http.Request) {
	members := append(s.cfg.Mesh.Members(mesh.Entry), s.cfg.Mesh.Members(mesh.Agent)...)
	writeJSON(w, append(members, s.cfg.Self))
}

// milliseconds returns the duration of ms milliseconds.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
