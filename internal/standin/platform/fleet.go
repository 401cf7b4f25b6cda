package platform

import (
	"fmt"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Fleet describes the workers of the platform. Accelerators, Cores and MemoryBytes
// are those of one worker.
type Fleet struct {
	Domains          []string
	WorkersPerDomain int
	WorkersPerRack   int // values below 1 mean 1
	Accelerators     int
	Cores            int
	MemoryBytes      int64
}

// Workers returns the fleet's workers. Racks are numbered within their failure
// domain; adjacent racks have consecutive numbers.
func (f Fleet) Workers() []structs.Worker {
	var out []structs.Worker
	for _, domain := range f.Domains {
		for i := range f.WorkersPerDomain {
			out = append(out, f.worker(domain, i))
		}
	}
	return out
}

func (f Fleet) worker(domain string, i int) structs.Worker {
	rack := fmt.Sprintf("%s-r%02d", domain, i/max(f.WorkersPerRack, 1)+1)
	return structs.Worker{
		ID:           fmt.Sprintf("%s-w%02d", rack, i%max(f.WorkersPerRack, 1)+1),
		Domain:       domain,
		Rack:         rack,
		Accelerators: f.Accelerators,
		Cores:        f.Cores,
		MemoryBytes:  f.MemoryBytes,
		State:        structs.StateLive,
	}
}
