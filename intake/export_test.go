package intake

// Size returns the number of sources and of values that are remembered.
func (a *SubmissionAges) Size() (sources, values int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, counts := range a.sources {
		values += len(counts.values)
	}
	return len(a.sources), values
}
