package rollout

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

// Curve is the replicas over time of one run, one JSON object per line.
type Curve struct {
	Setting string   `json:"setting"`
	N       int      `json:"n"`
	Samples []Sample `json:"samples"`
}

// AppendSamples adds a curve to a file.
func AppendSamples(path, setting string, n int, samples []Sample) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "opening the file of samples")
	}
	if err := json.NewEncoder(file).Encode(Curve{Setting: setting, N: n, Samples: samples}); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "writing samples")
	}
	return eris.Wrap(file.Close(), "closing the file of samples")
}
