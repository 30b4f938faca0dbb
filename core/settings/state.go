package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

// recentLimit is the number of verdicts that a state remembers. A repeated
// append arrives within seconds; at 10 changes a second this covers 25 s.
const recentLimit = 256

// Revision is an accepted document and where it stands in the log.
type Revision[T any] struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Document T      `json:"document"`
}

// State is the fold of all records up to Offset. States are values: Apply
// returns a new one and never changes its receiver. The JSON encoding is
// canonical, because map keys are sorted.
type State struct {
	Offset     int64                           `json:"offset"`
	Templates  map[string]Revision[Template]   `json:"templates"`
	Parameters map[string]Revision[Parameters] `json:"parameters"`
	// Changed holds the offset at which each service last changed. It never
	// decreases, so it is usable as a fencing number: without it, removing an
	// override would give a service an older offset than the one before.
	Changed map[string]int64 `json:"changed"`
	// Recent are the latest verdicts, oldest first.
	Recent []Verdict `json:"recent"`
}

// NewState returns an empty state at offset 0.
func NewState() *State {
	return &State{
		Templates:  map[string]Revision[Template]{},
		Parameters: map[string]Revision[Parameters]{},
		Changed:    map[string]int64{},
		Recent:     []Verdict{},
	}
}

// Encode returns the canonical JSON of the state and its SHA-256 in
// hexadecimal.
func (s *State) Encode() (data []byte, digest string) {
	// The state holds only maps, strings and numbers, which always encode.
	data, _ = json.Marshal(s)
	sum := sha256.Sum256(data)
	return data, hex.EncodeToString(sum[:])
}

// Service returns the service with all overrides applied and the offset of
// the record that last changed it.
func (s *State) Service(name string) (svc Service, offset int64, ok bool) {
	for _, rev := range s.Templates {
		for _, candidate := range rev.Document.Services {
			if candidate.Name == name {
				svc, offset, ok = candidate, rev.Offset, true
			}
		}
	}
	if !ok {
		return Service{}, 0, false
	}
	for _, rev := range s.Parameters {
		for _, o := range rev.Document.Versions {
			if o.Service == name {
				svc.Model, svc.Version, svc.Manifest = o.Model, o.Version, o.Manifest
				offset = max(offset, rev.Offset)
			}
		}
	}
	if changed, known := s.Changed[name]; known {
		offset = changed
	}
	return svc, offset, true
}

// ServiceNames returns the names of all services in order.
func (s *State) ServiceNames() []string {
	var names []string
	for _, rev := range s.Templates {
		for _, svc := range rev.Document.Services {
			names = append(names, svc.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Workspace returns the parameters of a workspace.
func (s *State) Workspace(name string) (Parameters, bool) {
	rev, ok := s.Parameters[name]
	return rev.Document, ok
}

// MayUse reports whether the workspace exists and may use the service.
func (s *State) MayUse(workspace, service string) bool {
	params, ok := s.Workspace(workspace)
	if !ok {
		return false
	}
	if len(params.Services) > 0 {
		return slices.Contains(params.Services, service)
	}
	for _, svc := range s.Templates[params.Template].Document.Services {
		if svc.Name == service {
			return true
		}
	}
	return false
}

// Revision returns the offset and record of a key's current revision, 0 and
// "" if there is none.
func (s *State) Revision(key string) (offset int64, recordID string) {
	switch kind, name := SplitKey(key); kind {
	case RecordTemplate:
		return s.Templates[name].Offset, s.Templates[name].RecordID
	case RecordParameters:
		return s.Parameters[name].Offset, s.Parameters[name].RecordID
	}
	return 0, ""
}

// Document returns the document of a key and the offset and record of its
// revision.
func (s *State) Document(key string) (doc *Document, offset int64, recordID string) {
	kind, name := SplitKey(key)
	if rev, ok := s.Templates[name]; ok && kind == RecordTemplate {
		return &Document{Kind: kind, Key: key, Template: &rev.Document}, rev.Offset, rev.RecordID
	}
	if rev, ok := s.Parameters[name]; ok && kind == RecordParameters {
		return &Document{Kind: kind, Key: key, Parameters: &rev.Document}, rev.Offset, rev.RecordID
	}
	return nil, 0, ""
}

// Keys returns the keys of all documents in order.
func (s *State) Keys() []string {
	var keys []string
	for _, name := range sortedKeys(s.Parameters) {
		keys = append(keys, Key(RecordParameters, name))
	}
	for _, name := range sortedKeys(s.Templates) {
		keys = append(keys, Key(RecordTemplate, name))
	}
	return keys
}

// Rebase returns the documents of the state as the state at a later offset,
// for a log whose records in between no process has.
func (s *State) Rebase(offset int64) *State {
	return s.at(offset)
}

// at returns a copy of the state at another offset. The copy shares maps
// and slices, which are replaced and never changed.
func (s *State) at(offset int64) *State {
	next := *s
	next.Offset = offset
	return &next
}

// remember adds a verdict and drops the oldest one beyond the limit.
func (s *State) remember(v Verdict) {
	from := max(len(s.Recent)+1-recentLimit, 0)
	s.Recent = append(slices.Clone(s.Recent[from:]), v)
}

// VerdictOn returns the first verdict on a record id, if it is among the
// latest.
func (s *State) VerdictOn(id string) (Verdict, bool) {
	for _, v := range slices.Backward(s.Recent) {
		if v.RecordID == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// markChanged notes the services that differ from those of the state before.
func (s *State) markChanged(before *State) {
	s.Changed = maps.Clone(s.Changed)
	names := append(s.ServiceNames(), before.ServiceNames()...)
	for _, name := range names {
		old, _, had := before.Service(name)
		now, _, has := s.Service(name)
		if had != has || !reflect.DeepEqual(old, now) {
			s.Changed[name] = s.Offset
		}
	}
}
