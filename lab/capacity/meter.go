package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// heapOf returns the heap bytes that what build returns keeps alive.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(int64(after) - int64(before))
}

func heap() uint64 {
	// The second collection frees what finalizers held.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the processor time that run takes, that of the garbage
// collector included.
func processorTime(run func()) time.Duration {
	runtime.GC()
	before := usedProcessor()
	run()
	return usedProcessor() - before
}

func usedProcessor() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the process itself cannot fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
