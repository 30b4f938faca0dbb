package settings

import (
	_ "embed"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of the fields of documents.
const (
	maxServices   = 64
	maxListLength = 64
	maxShare      = 1000
	maxQueued     = 10000
	maxTimeoutMS  = 600_000
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	versionPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	methodPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	manifestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	recordIDPattern = regexp.MustCompile(`^[!-~]{1,128}$`)
	timePattern     = regexp.MustCompile(`^\d\d:\d\d$`)
)

// timeZoneList holds the accepted time zones, one a line and sorted. The list
// is part of the program, because the time zone files of two VMs may differ
// and all processes must reach the same verdict.
//
//go:embed zones.txt
var timeZoneList string

var timeZones = strings.Fields(timeZoneList)

// checker collects the problems of a document. The texts of its problems
// become part of the state: see Verdict.Reason.
type checker struct {
	problems Problems
}

func (c *checker) addf(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkPattern(field, value string, pattern *regexp.Regexp, allowed string) {
	if !pattern.MatchString(value) {
		c.addf(field, "value %q is not %s", value, allowed)
	}
}

func (c *checker) checkName(field, value string) {
	c.checkPattern(field, value, namePattern, "1 to 63 of a-z, 0-9 and -, not starting with -")
}

func (c *checker) checkNames(field string, values []string) {
	if len(values) > maxListLength {
		c.addf(field, "has %d values; at most %d are allowed", len(values), maxListLength)
	}
	for i, value := range values {
		c.checkName(fmt.Sprintf("%s[%d]", field, i), value)
		if slices.Contains(values[:i], value) {
			c.addf(fmt.Sprintf("%s[%d]", field, i), "value %q is listed twice", value)
		}
	}
}

func (c *checker) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		c.addf(field, "value %d is not between %d and %d", value, low, high)
	}
}

func (c *checker) checkVersion(field, model, version, manifest string) {
	c.checkPattern(joinPath(field, "model"), model, versionPattern, "1 to 63 letters, digits, dots, _ and -")
	c.checkPattern(joinPath(field, "version"), version, versionPattern, "1 to 63 letters, digits, dots, _ and -")
	c.checkPattern(joinPath(field, "manifest"), manifest, manifestPattern, "64 hexadecimal digits in lower case")
}

func joinPath(path, field string) string {
	return strings.TrimPrefix(path+"."+field, ".")
}

func checkTemplate(t *Template) Problems {
	var c checker
	c.checkName("name", t.Name)
	if len(t.Services) == 0 || len(t.Services) > maxServices {
		c.addf("services", "has %d services; 1 to %d are allowed", len(t.Services), maxServices)
	}
	seen := map[string]bool{}
	for i, svc := range t.Services {
		field := fmt.Sprintf("services[%d]", i)
		if seen[svc.Name] {
			c.addf(field+".name", "service %q is given twice", svc.Name)
		}
		seen[svc.Name] = true
		c.checkService(field, svc)
	}
	return c.problems
}

func (c *checker) checkService(field string, s Service) {
	c.checkName(field+".name", s.Name)
	c.checkNames(field+".regions", s.Regions)
	switch s.Objective {
	case "", ObjectiveOrigin, ObjectiveTime:
	default:
		c.addf(field+".objective", "value %q is not one of origin, time", s.Objective)
	}
	if s.OriginRegion != "" {
		c.checkName(field+".origin_region", s.OriginRegion)
	}
	switch s.Kind {
	case KindEngine:
		c.checkVersion(field, s.Model, s.Version, s.Manifest)
		if len(s.Methods) > 0 {
			c.addf(field+".methods", "only services of kind plain have methods")
		}
	case KindPlain:
		if s.Model != "" || s.Version != "" || s.Manifest != "" || s.Rollout != nil {
			c.addf(field, "only services of kind engine have model, version, manifest and rollout")
		}
		c.checkMethods(field+".methods", s.Methods)
	default:
		c.addf(field+".kind", "value %q is not one of engine, plain", s.Kind)
	}
	if s.Rollout != nil {
		c.checkRolloutStart(field+".rollout", *s.Rollout)
	}
}

func (c *checker) checkMethods(field string, methods []Method) {
	seen := map[string]bool{}
	for i, m := range methods {
		methodField := fmt.Sprintf("%s[%d]", field, i)
		c.checkPattern(methodField+".name", m.Name, methodPattern, "1 to 63 letters, digits, _ and -")
		c.checkRange(methodField+".timeout_ms", m.TimeoutMS, 0, maxTimeoutMS)
		if seen[m.Name] {
			c.addf(methodField+".name", "method %q is given twice", m.Name)
		}
		seen[m.Name] = true
	}
}

func (c *checker) checkRolloutStart(field string, r RolloutStart) {
	if _, err := time.Parse("15:04", r.At); err != nil || !timePattern.MatchString(r.At) {
		c.addf(field+".at", "value %q is not a time of day from 00:00 to 23:59", r.At)
	}
	if _, known := slices.BinarySearch(timeZones, r.TimeZone); !known {
		c.addf(field+".time_zone", "value %q is not an IANA time zone such as Europe/Lisbon", r.TimeZone)
	}
}

func checkParameters(p *Parameters) Problems {
	var c checker
	c.checkName("workspace", p.Workspace)
	c.checkName("template", p.Template)
	c.checkNames("services", p.Services)
	c.checkNames("regions", p.Regions)
	c.checkRange("share", p.Share, 0, maxShare)
	c.checkRange("max_queued", p.MaxQueued, 0, maxQueued)
	seen := map[string]bool{}
	for i, o := range p.Versions {
		overrideField := fmt.Sprintf("versions[%d]", i)
		c.checkName(overrideField+".service", o.Service)
		c.checkVersion(overrideField, o.Model, o.Version, o.Manifest)
		if seen[o.Service] {
			c.addf(overrideField+".service", "service %q is given twice", o.Service)
		}
		seen[o.Service] = true
	}
	return c.problems
}

// crossCheckTemplate checks a template against the other documents of the
// state. The state must already contain the template.
func (s *State) crossCheckTemplate(t *Template) Problems {
	var c checker
	for i, svc := range t.Services {
		for _, other := range sortedKeys(s.Templates) {
			if other != t.Name && hasService(s.Templates[other].Document, svc.Name) {
				c.addf(fmt.Sprintf("services[%d].name", i), "service %q belongs to template %q", svc.Name, other)
			}
		}
	}
	for _, workspace := range sortedKeys(s.Parameters) {
		params := s.Parameters[workspace].Document
		if params.Template != t.Name {
			continue
		}
		for _, problem := range s.crossCheckParameters(&params) {
			c.addf("services", "parameters of workspace %q would not fit: %s", workspace, problem)
		}
	}
	return c.problems
}

// crossCheckParameters checks parameters against the other documents of the
// state.
func (s *State) crossCheckParameters(p *Parameters) Problems {
	var c checker
	rev, ok := s.Templates[p.Template]
	if !ok {
		c.addf("template", "template %q does not exist", p.Template)
		return c.problems
	}
	for i, name := range p.Services {
		if !hasService(rev.Document, name) {
			c.addf(fmt.Sprintf("services[%d]", i), "template %q has no service %q", p.Template, name)
		}
	}
	for i, o := range p.Versions {
		s.crossCheckOverride(&c, fmt.Sprintf("versions[%d]", i), p, o)
	}
	return c.problems
}

func (s *State) crossCheckOverride(c *checker, field string, p *Parameters, o VersionOverride) {
	kind := Kind("")
	for _, svc := range s.Templates[p.Template].Document.Services {
		if svc.Name == o.Service {
			kind = svc.Kind
		}
	}
	switch {
	case kind == "":
		c.addf(field+".service", "template %q has no service %q", p.Template, o.Service)
		return
	case kind != KindEngine:
		c.addf(field+".service", "service %q is not of kind engine", o.Service)
		return
	}
	for _, workspace := range sortedKeys(s.Parameters) {
		if workspace == p.Workspace {
			continue
		}
		for _, other := range s.Parameters[workspace].Document.Versions {
			if other.Service == o.Service && other != o {
				c.addf(field, "service %q would run two versions: workspace %q sets %s %s",
					o.Service, workspace, other.Model, other.Version)
			}
		}
	}
}

// validate returns the problems of a state that was received from a peer or
// read from a snapshot.
func (s *State) validate() Problems {
	var problems Problems
	for _, name := range sortedKeys(s.Templates) {
		t := s.Templates[name].Document
		problems = append(problems, checkTemplate(&t)...)
		problems = append(problems, s.crossCheckTemplate(&t)...)
		if t.Name != name {
			problems = append(problems, Problem{Field: "templates", Message: fmt.Sprintf("key %q differs from name %q", name, t.Name)})
		}
	}
	for _, name := range sortedKeys(s.Parameters) {
		p := s.Parameters[name].Document
		problems = append(problems, checkParameters(&p)...)
		problems = append(problems, s.crossCheckParameters(&p)...)
		if p.Workspace != name {
			problems = append(problems, Problem{Field: "parameters", Message: fmt.Sprintf("key %q differs from workspace %q", name, p.Workspace)})
		}
	}
	return problems
}

func hasService(t Template, name string) bool {
	return slices.ContainsFunc(t.Services, func(s Service) bool { return s.Name == name })
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
