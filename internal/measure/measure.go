// Package measure helps benchmarks to measure memory.
package measure

import "runtime"

// Heap returns the bytes of the heap that are in use after a collection.
func Heap() int64 {
	// The second collection frees what finalizers of the first let go.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
