// Package measure contains helpers for benchmarks that measure memory.
package measure

import "runtime"

// Heap returns the number of heap bytes in use after a garbage collection.
func Heap() int64 {
	// The second collection frees objects that finalizers run by the first one released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
