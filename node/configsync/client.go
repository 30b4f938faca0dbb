package configsync

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

// maxResponseBytes is the maximum size of a response after decompression. The
// store accepts records of up to 256 KiB, and a process has about 100 MB of
// memory.
const maxResponseBytes = 8 << 20

// ErrNoContent means that the entry has no data for the request.
var ErrNoContent = eris.New("the entry has no data for the request")

// fetchJSON requests a path from an entry and decodes its JSON response into v.
func fetchJSON(ctx context.Context, client *http.Client, address, path string, query, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + address).Get(path).QueryStruct(query).Request()
	if err != nil {
		return eris.Wrap(err, "building a request to an entry")
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return eris.Wrap(err, "sending a request to an entry")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent, http.StatusServiceUnavailable:
		return ErrNoContent
	default:
		return fmt.Errorf("entry answered status %d", resp.StatusCode)
	}
	body := io.Reader(resp.Body)
	if resp.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(body)
		if err != nil {
			return eris.Wrap(err, "decompressing the response of an entry")
		}
		body = z
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(v); err != nil {
		return eris.Wrap(err, "reading the response of an entry")
	}
	return nil
}

type configurationQuery struct {
	NewerThan int64 `url:"newer_than"`
}

// fetchConfiguration fetches an entry's configuration if it is newer than the
// current version, and applies it. It reports whether there was one.
func (s *Syncer) fetchConfiguration(ctx context.Context, address string, current int64) bool {
	var cfg route.Configuration
	err := fetchJSON(ctx, s.cfg.Client, address, ConfigurationPath, configurationQuery{current}, &cfg)
	if err == nil {
		return s.cfg.Gateway.Configure(cfg, "entry "+address)
	} else if ctx.Err() == nil && !eris.Is(err, ErrNoContent) {
		s.cfg.Log.Event("configuration_unread", "from", address, "version", current, "cause", err.Error())
	}
	return false
}

// fetchWeights fetches and applies an entry's published weight versions, and
// reports whether the entry answered.
func (s *Syncer) fetchWeights(ctx context.Context, address string) bool {
	var published PublishedWeights
	if err := fetchJSON(ctx, s.cfg.Client, address, WeightsPath, struct{}{}, &published); err != nil {
		// The error needs no handling: entries that start retry until one
		// answers, and heartbeats show which entries are live.
		return false
	}
	for model, versions := range published {
		for version, n := range versions {
			if n.Exact {
				s.cfg.Gateway.RecordPublishedWeights(model, version, milliseconds(n.AgeMS))
			} else if !s.cfg.Gateway.HasPublishedWeights(model, version) {
				s.cfg.Gateway.RecordPublishedWeightsUnknownAge(model, version)
			}
		}
	}
	return true
}

// FetchTarget fetches the data that an agent needs from an entry.
func FetchTarget(ctx context.Context, client *http.Client, address string) (Target, error) {
	var target Target
	err := fetchJSON(ctx, client, address, TargetPath, struct{}{}, &target)
	return target, err
}

// FetchMembers fetches the list of known members from an entry.
func FetchMembers(ctx context.Context, client *http.Client, address string) ([]mesh.Member, error) {
	var members []mesh.Member
	err := fetchJSON(ctx, client, address, MembersPath, struct{}{}, &members)
	return members, err
}
