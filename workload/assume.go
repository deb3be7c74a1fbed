package workload

// This file defines what is assumed about starts that are not recorded.

// AssumeStarted records that a pending task may have had a run 1 although no start of it is
// recorded, so that its next start gets number 2. A late end of run 1 is then not taken for the end
// of a later run.
func (j *Job) AssumeStarted(ref TaskRef) {
	t := j.Task(ref)
	t.Run = max(t.Run, 1)
}
