package capacity

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Measurement is one file of docs/measurements.
type Measurement struct {
	Name    string   `json:"name"`    // the file's name without .json
	Command string   `json:"command"` // regenerates the file
	Seed    uint64   `json:"seed"`
	Series  []Series `json:"series"`
}

// Series is one quantity at several sizes.
type Series struct {
	Name   string  `json:"name"` // for example "sent_bytes_per_second"
	Unit   string  `json:"unit"`
	Per    string  `json:"per"` // unit of the size, for example "routers"
	Points []Point `json:"points"`
}

// Point is one measured value.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a least-squares fit of a straight line.
type Line struct {
	Intercept, Slope float64
	// MaxError is the largest distance of a point from the line, as a share of the
	// largest value.
	MaxError float64
	// Largest is the largest size that was measured.
	Largest float64
}

// Fit returns the line through the points of s. With one point it is constant.
func (s *Series) Fit() Line {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY, largest, top float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
		largest = max(largest, p.Size)
		top = max(top, math.Abs(p.Value))
	}
	line := Line{Largest: largest}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		line.Slope = (n*sumXY - sumX*sumY) / spread
	}
	if n > 0 {
		line.Intercept = (sumY - line.Slope*sumX) / n
	}
	for _, p := range s.Points {
		if top > 0 {
			line.MaxError = max(line.MaxError, math.Abs(p.Value-line.At(p.Size))/top)
		}
	}
	return line
}

// At returns the value of the line at size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

// Load reads all measurements in dir, sorted by name.
func Load(dir string) ([]Measurement, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "measurements")
	}
	slices.Sort(files)
	var all []Measurement
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "measurements")
		}
		var m Measurement
		if err := json.Unmarshal(data, &m); err != nil {
			return nil, errors.Wrap(err, file)
		}
		m.Name = strings.TrimSuffix(filepath.Base(file), ".json")
		if len(m.Series) > 0 {
			all = append(all, m)
		}
	}
	return all, nil
}

// Save writes m into dir.
func (m *Measurement) Save(dir string) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurement")
	}
	file := filepath.Join(dir, m.Name+".json")
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o644), "write measurement")
}
