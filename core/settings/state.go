package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

// maxRecentVerdicts is the number of verdicts that a state keeps to detect
// repeated appends. These arrive within seconds; at 10 changes a second the
// verdicts cover 25 s.
const maxRecentVerdicts = 256

// Revision is an accepted document with the offset and the id of its record.
type Revision[T any] struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Document T      `json:"document"`
}

// State is the result of applying all records up to Offset. States are
// values: Apply returns a new one and never changes its receiver. The JSON
// encoding is canonical, because it sorts the keys of maps.
type State struct {
	Offset     int64                           `json:"offset"`
	Templates  map[string]Revision[Template]   `json:"templates"`
	Parameters map[string]Revision[Parameters] `json:"parameters"`
	// ChangedAt holds the offset at which each service last changed. The offset
	// serves as a fencing number, so it must not decrease. The offset of the
	// service's revision would decrease when a version override is removed.
	ChangedAt map[string]int64 `json:"changed"`
	// RecentVerdicts are the latest verdicts, oldest first.
	RecentVerdicts []Verdict `json:"recent"`
}

// NewState returns an empty state at offset 0.
func NewState() *State {
	return &State{
		Templates:      map[string]Revision[Template]{},
		Parameters:     map[string]Revision[Parameters]{},
		ChangedAt:      map[string]int64{},
		RecentVerdicts: []Verdict{},
	}
}

// Encode returns the canonical JSON of the state and its SHA-256 in
// hexadecimal.
func (s *State) Encode() (data []byte, digest string) {
	// The state consists of maps, lists, strings, numbers and booleans, whose
	// encoding never fails.
	data, _ = json.Marshal(s)
	sum := sha256.Sum256(data)
	return data, hex.EncodeToString(sum[:])
}

// Service returns the service with all version overrides applied, and the
// offset of the record that last changed the service.
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
	if changed, known := s.ChangedAt[name]; known {
		offset = changed
	}
	return svc, offset, true
}

// ServiceNames returns the names of all services, sorted.
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

// Revision returns the offset and the record id of a key's current revision,
// or 0 and "" if there is none.
func (s *State) Revision(key string) (offset int64, recordID string) {
	switch kind, name := SplitKey(key); kind {
	case RecordTemplate:
		return s.Templates[name].Offset, s.Templates[name].RecordID
	case RecordParameters:
		return s.Parameters[name].Offset, s.Parameters[name].RecordID
	}
	return 0, ""
}

// Document returns the current document of a key with the offset and the
// record id of its revision, or nil, 0 and "" if there is none.
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

// Keys returns the record keys of all documents, sorted.
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

// AtOffset returns the state with the same documents at a later offset, for use
// when no process has the records between the two offsets.
func (s *State) AtOffset(offset int64) *State {
	return s.withOffset(offset)
}

// withOffset returns a copy of the state at another offset. The copy shares
// its maps and slices with the original; methods replace them and never change
// them in place.
func (s *State) withOffset(offset int64) *State {
	next := *s
	next.Offset = offset
	return &next
}

// recordVerdict adds a verdict and removes the oldest one if there are more
// than maxRecentVerdicts.
func (s *State) recordVerdict(v Verdict) {
	from := max(len(s.RecentVerdicts)+1-maxRecentVerdicts, 0)
	s.RecentVerdicts = append(slices.Clone(s.RecentVerdicts[from:]), v)
}

// FindVerdict returns the verdict on the first record with the id, if the state
// still keeps that verdict.
func (s *State) FindVerdict(id string) (Verdict, bool) {
	for _, v := range slices.Backward(s.RecentVerdicts) {
		if v.RecordID == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// recordChanges sets the offset of last change of all services that differ
// from the previous state.
func (s *State) recordChanges(previous *State) {
	s.ChangedAt = maps.Clone(s.ChangedAt)
	names := append(s.ServiceNames(), previous.ServiceNames()...)
	for _, name := range names {
		oldService, _, existedBefore := previous.Service(name)
		newService, _, existsNow := s.Service(name)
		if existedBefore != existsNow || !reflect.DeepEqual(oldService, newService) {
			s.ChangedAt[name] = s.Offset
		}
	}
}
