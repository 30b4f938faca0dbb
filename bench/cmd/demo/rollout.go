package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/operator"
)

// baseFromLog makes a change replace the revision that the log shows.
const baseFromLog = -1

// readSettings returns the template followed by the parameter sets.
func readSettings(dir string) ([]*settings.Document, error) {
	var docs []*settings.Document
	for _, name := range []string{"template.yaml", "parameters.yaml"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, eris.Wrap(err, "reading example settings")
		}
		parsed, err := settings.ParseFile(data)
		if err != nil {
			return nil, eris.Wrapf(err, "parsing %s", name)
		}
		docs = append(docs, parsed...)
	}
	return docs, nil
}

// rollOut publishes the documents with the version and waits until the fleet
// has converged.
func (d *demo) rollOut(docs []*settings.Document, version string) error {
	template := docs[0].Template
	for i := range template.Services {
		svc := &template.Services[i]
		if svc.Kind != settings.KindEngine {
			continue
		}
		digest, err := d.cluster.AddVersion(svc.Model, version, versionBytes, chunkBytes)
		if err != nil {
			return err
		}
		// The demo does not wait for the time of day in the example.
		svc.Version, svc.Manifest, svc.Rollout = version, digest, nil
	}
	drawn, err := d.drawn()
	if err != nil {
		return err
	}
	begun := time.Now()
	offset := int64(0)
	for _, doc := range docs {
		result, err := d.operator.Publish(d.ctx, operator.Change{Document: doc, Base: baseFromLog})
		if err != nil {
			return err
		}
		if !result.Accepted() {
			return eris.Errorf("%s was refused: %+v", doc.Key, result)
		}
		offset = result.Verdict.Offset
	}
	fmt.Printf("published %d documents for version %s\n", len(docs), version)
	if err := d.converge(offset); err != nil {
		return err
	}
	after, err := d.drawn()
	if err != nil {
		return err
	}
	copies := float64(after-drawn) / versionBytes
	fmt.Printf("version %s is served by all %d engines after %.1f s\n", version, len(regions)*enginesInZone, time.Since(begun).Seconds())
	d.expect(copies <= 1.1, "%.2f copies drawn from the origin, at most 1.1", copies)
	return nil
}

// converge prints the progress until the settings are in force and all agents
// serve what they should.
func (d *demo) converge(offset int64) error {
	last := ""
	err := harness.Until(d.ctx, func() bool {
		status, err := d.operator.Status(d.ctx)
		if err != nil {
			return false
		}
		line := ""
		for _, row := range status.Services {
			if row.Kind == string(settings.KindEngine) {
				line += fmt.Sprintf("  %s/%s %d/%d", row.Service, row.Region, row.Serving, row.Agents)
			}
		}
		if line != last {
			fmt.Println(line)
			last = line
		}
		return status.Converged && status.SettingsOffset >= offset
	})
	return eris.Wrap(err, "waiting for convergence")
}

// drawn returns the bytes that the weight store has served.
func (d *demo) drawn() (int64, error) {
	resp, err := http.Get(d.cluster.WeightsURL + "/v1/drawn")
	if err != nil {
		return 0, eris.Wrap(err, "asking the weight store")
	}
	defer resp.Body.Close()
	var answer struct {
		Bytes int64 `json:"bytes"`
	}
	return answer.Bytes, json.NewDecoder(resp.Body).Decode(&answer)
}
