package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// heapOf returns the heap bytes that the result of build keeps alive.
func heapOf(build func() any) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return float64(int64(after) - int64(before))
}

func heapBytes() uint64 {
	// The second collection frees objects that finalizers kept alive.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuTime returns the CPU time that the process uses during run, including that
// of the garbage collector.
func cpuTime(run func()) time.Duration {
	runtime.GC()
	before := usedCPUTime()
	run()
	return usedCPUTime() - before
}

func usedCPUTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the process itself cannot fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
