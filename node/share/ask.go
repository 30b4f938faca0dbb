package share

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

// maxAnswer bounds an answer in bytes after it was unpacked: the store takes
// records of 256 KiB, and a process has some 100 MB.
const maxAnswer = 8 << 20

// ErrNothing means that the entry has nothing to tell.
var ErrNothing = eris.New("the entry has nothing to tell")

// ask asks an entry and reads its JSON answer into v.
func ask(ctx context.Context, client *http.Client, address, path string, query, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + address).Get(path).QueryStruct(query).Request()
	if err != nil {
		return eris.Wrap(err, "building a question to an entry")
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return eris.Wrap(err, "asking an entry")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent, http.StatusServiceUnavailable:
		return ErrNothing
	default:
		return fmt.Errorf("entry answered %d", resp.StatusCode)
	}
	body := io.Reader(resp.Body)
	if resp.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(body)
		if err != nil {
			return eris.Wrap(err, "unpacking the answer of an entry")
		}
		body = z
	}
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(v); err != nil {
		return eris.Wrap(err, "reading the answer of an entry")
	}
	return nil
}

type configurationQuery struct {
	NewerThan int64 `url:"newer_than"`
}

// askConfiguration takes an entry's configuration over if it is newer.
func (s *Sharer) askConfiguration(ctx context.Context, address string, than int64) {
	var cfg route.Configuration
	err := ask(ctx, s.cfg.Client, address, ConfigurationPath, configurationQuery{than}, &cfg)
	if err == nil {
		s.cfg.Gateway.Configure(cfg, "entry "+address)
	} else if ctx.Err() == nil && !eris.Is(err, ErrNothing) {
		s.cfg.Log.Event("configuration_unread", "from", address, "version", than, "cause", err.Error())
	}
}

// askWeights takes over what an entry knows of named weights, and reports
// whether it told.
func (s *Sharer) askWeights(ctx context.Context, address string) bool {
	var named NamedWeights
	if err := ask(ctx, s.cfg.Client, address, WeightsPath, struct{}{}, &named); err != nil {
		// Entries that start ask each other until one knows; the hellos show
		// who lives.
		return false
	}
	for model, versions := range named {
		for version, n := range versions {
			if n.Exact {
				s.cfg.Gateway.RecordPublishedWeights(model, version, age(n.AgeMS))
			} else if !s.cfg.Gateway.HasPublishedWeights(model, version) {
				s.cfg.Gateway.RecordPublishedWeightsUnknownAge(model, version)
			}
		}
	}
	return true
}

// AskTarget asks an entry for what an agent needs.
func AskTarget(ctx context.Context, client *http.Client, address string) (Target, error) {
	var target Target
	err := ask(ctx, client, address, TargetPath, struct{}{}, &target)
	return target, err
}

// AskMembers asks an entry for the members that it knows.
func AskMembers(ctx context.Context, client *http.Client, address string) ([]mesh.Member, error) {
	var members []mesh.Member
	err := ask(ctx, client, address, MembersPath, struct{}{}, &members)
	return members, err
}
