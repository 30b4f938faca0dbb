package configsync

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/node/lib/inquiry"
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

// ErrAccessUnstated means that an entry of an earlier release has a configuration without
// workspaces, which does not say whether requests need a key.
var ErrAccessUnstated = eris.New("the configuration of the entry does not say whether requests need a key")

// checkedAnswer is an answer of an entry that may be unusable.
type checkedAnswer interface {
	check() error
}

// check reports a configuration that does not say which requests need a key.
func (a configurationAnswer) check() error {
	if !a.AccessKnown() {
		return ErrAccessUnstated
	}
	return nil
}

type configurationQuery struct {
	NewerThan int64 `url:"newer_than"`
}

// fetchFromAny requests a path from entries, one after the other as long as they are silent
// or fail, and decodes the first JSON response.
func fetchFromAny[T any](ctx context.Context, client *http.Client, addresses []string, patience time.Duration, path string, query any) (inquiry.Result[T], error) {
	cfg := relay.InquiryConfig{Sources: len(addresses), FirstPatience: patience, Patience: patience, Timeout: inquiryTimeout}
	return inquiry.Run(ctx, cfg, func(ctx context.Context, i int) (answer T, err error) {
		err = fetchJSON(ctx, client, addresses[i], path, query, &answer)
		if checked, ok := any(answer).(checkedAnswer); ok && err == nil {
			err = checked.check()
		}
		return answer, err
	})
}

// askEntries asks entries for a record until one has it, and logs the entries that were
// silent.
func askEntries[T any](ctx context.Context, s *Syncer, feed string, addresses []string, path string, query any) (answer T, from string, ok bool) {
	result, err := fetchFromAny[T](ctx, s.cfg.Client, addresses, entryPatience, path, query)
	if ctx.Err() != nil {
		return answer, "", false
	}
	var silent []string
	for _, i := range result.Silent {
		silent = append(silent, addresses[i])
	}
	if err == nil {
		from = addresses[result.Source]
	}
	if len(silent) > 0 {
		s.cfg.Log.Event("entries_silent", "feed", feed, "entries", silent, "ms", result.Duration.Milliseconds(), "answered", from)
	}
	for i, cause := range result.Failed {
		if eris.Is(cause, ErrAccessUnstated) {
			// The store says what the entry does not.
			s.accessUnstated.Store(true)
		}
		if !eris.Is(cause, ErrNoContent) {
			s.cfg.Log.Event("entry_unread", "feed", feed, "from", addresses[i], "cause", cause.Error())
		}
	}
	return result.Answer, from, err == nil
}

// fetchConfiguration fetches a configuration that is newer than the current version from
// one of the entries, and applies it. It reports whether there was one.
func (s *Syncer) fetchConfiguration(ctx context.Context, addresses []string, current int64) bool {
	answer, from, ok := askEntries[configurationAnswer](ctx, s, "configuration", addresses, ConfigurationPath, configurationQuery{current})
	if !ok {
		return false
	}
	s.cfg.Gateway.AdoptEvacuations(answer.Evacuations, "entry")
	return s.cfg.Gateway.Configure(answer.Configuration, "entry "+from)
}

// fetchWeights fetches and applies the published weight versions of one of the entries,
// and reports whether one answered.
func (s *Syncer) fetchWeights(ctx context.Context, addresses []string) bool {
	published, _, ok := askEntries[PublishedWeights](ctx, s, "weights", addresses, WeightsPath, struct{}{})
	for model, versions := range published {
		for version, n := range versions {
			if n.Exact {
				s.cfg.Gateway.RecordPublishedWeights(model, version, milliseconds(n.AgeMS))
			} else if !s.cfg.Gateway.HasPublishedWeights(model, version) {
				s.cfg.Gateway.RecordPublishedWeightsUnknownAge(model, version)
			}
		}
	}
	return ok
}

// FetchTarget fetches the data that an agent needs from one of the entries.
func FetchTarget(ctx context.Context, client *http.Client, addresses []string) (Target, error) {
	result, err := fetchFromAny[Target](ctx, client, addresses, narrowPatience, TargetPath, struct{}{})
	return result.Answer, err
}

// FetchMembers fetches the list of known members from one of the entries.
func FetchMembers(ctx context.Context, client *http.Client, addresses []string) ([]mesh.Member, error) {
	result, err := fetchFromAny[[]mesh.Member](ctx, client, addresses, narrowPatience, MembersPath, struct{}{})
	return result.Answer, err
}
