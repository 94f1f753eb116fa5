package rollout

import (
	"encoding/json"
	"math"
	"math/bits"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// buckets is the number of buckets of a Histogram. Bucket i counts durations from 2^(i-1)
// to 2^i ms, the first one all below 1 ms, the last one all from 131 s on.
const buckets = 19

// Histogram counts durations in buckets of factor 2. In JSON it is an array of the index
// of the first bucket in use and the counts from there on.
type Histogram [buckets]int

// add counts one duration.
func (h *Histogram) add(d time.Duration) {
	h[min(bits.Len64(uint64(max(d, 0)/time.Millisecond)), buckets-1)]++
}

// count returns the number of durations.
func (h *Histogram) count() int {
	n := 0
	for _, c := range h {
		n += c
	}
	return n
}

// bounds returns the limits of bucket i in ms. Both are positive, for logarithms.
func bounds(i int) (low, high float64) {
	return math.Ldexp(1, i-1), math.Ldexp(1, i)
}

// quantile returns a quantile in ms, interpolated on a logarithmic scale; 0 if h is empty.
func (h *Histogram) quantile(q float64) float64 {
	left := q * float64(h.count())
	if left == 0 {
		return 0
	}
	for i, c := range h {
		if n := float64(c); left <= n {
			low, high := bounds(i)
			return low * math.Pow(high/low, left/n)
		}
		left -= float64(c)
	}
	return math.Ldexp(1, buckets-1)
}

// IsZero reports whether h is empty, for encoding/json.
func (h Histogram) IsZero() bool { return h == Histogram{} }

// MarshalJSON writes the first index in use and the counts up to the last one.
func (h Histogram) MarshalJSON() ([]byte, error) {
	first, last := 0, buckets-1
	for first < last && h[first] == 0 {
		first++
	}
	for last > first && h[last] == 0 {
		last--
	}
	b := strconv.AppendInt([]byte{'['}, int64(first), 10)
	for _, c := range h[first : last+1] {
		b = strconv.AppendInt(append(b, ','), int64(c), 10)
	}
	return append(b, ']'), nil
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (h *Histogram) UnmarshalJSON(b []byte) error {
	var list []int
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "histogram")
	}
	*h = Histogram{}
	if len(list) == 0 {
		return nil
	}
	if list[0] < 0 || list[0]+len(list)-1 > buckets {
		return errors.Errorf("histogram: %d buckets from bucket %d on", len(list)-1, list[0])
	}
	copy(h[list[0]:], list[1:])
	return nil
}
