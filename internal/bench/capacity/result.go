package capacity

import (
	"encoding/json"
	"os"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const filePerm = 0o644

// Measure is a quantity measured at several sizes, with its fit.
type Measure struct {
	ID string `json:"id"`
	// Quantity describes what is measured. Unit is the unit of the values, Per
	// that of the sizes.
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Per      string  `json:"per"`
	Points   []Point `json:"points"`
	Fit      Fit     `json:"fit"`
}

// Machine describes the machine that the measures were taken on.
type Machine struct {
	System string `json:"system"`
	Go     string `json:"go"`
	Cores  int    `json:"cores"`
}

// Results is the content of the results file.
type Results struct {
	Machine  Machine   `json:"machine"`
	Repeats  int       `json:"repeats"` // number of runs of each experiment
	Measures []Measure `json:"measures"`
}

// Measure returns a measure by ID. It fails with fault.NotFound if there is none.
func (r Results) Measure(id string) (Measure, error) {
	for _, m := range r.Measures {
		if m.ID == id {
			return m, nil
		}
	}
	return Measure{}, fault.New(fault.NotFound, "measure "+id)
}

// Save writes the results as JSON. It fails with fault.Internal if they can't be
// encoded and with fault.Unavailable if the file can't be written.
func (r Results) Save(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fault.Wrap(fault.Internal, "encode results", err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), filePerm); err != nil {
		return fault.Wrap(fault.Unavailable, "write "+path, err)
	}
	return nil
}

// Load reads results. It fails with fault.NotFound if the file can't be read and
// with fault.Invalid if it can't be decoded.
func Load(path string) (Results, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Results{}, fault.Wrap(fault.NotFound, "read "+path, err)
	}
	var r Results
	if err := json.Unmarshal(raw, &r); err != nil {
		return Results{}, fault.Wrap(fault.Invalid, "decode "+path, err)
	}
	return r, nil
}
