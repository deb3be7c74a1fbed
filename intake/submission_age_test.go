package intake_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport/intake"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/workload"
)

// agesStart is when the SubmissionAges of the tests are created.
var agesStart = time.Unix(1000, 0)

// calm is a time at which no submission can be a retry: those of a former process are over.
var calm = agesStart.Add(time.Minute)

// errStore is the outcome of a submission that could not be stored.
var errStore error = &intake.RefusedError{Cause: "the store gives no answer"}

// agesKnowing returns SubmissionAges that have observed first deadlines of customer c and queue q,
// and that have then refused a submission at calm.
func agesKnowing(deadlines ...time.Duration) *intake.SubmissionAges {
	a := intake.NewSubmissionAges(agesStart)
	for _, d := range deadlines {
		a.Observe(calm, "c", "q", d, nil)
	}
	a.Observe(calm, "c", "q", 0, errStore)
	return a
}

// repeat returns n times the deadline d.
func repeat(n int, d time.Duration) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// mixed returns the deadlines of several clients.
func mixed(all ...[]time.Duration) []time.Duration {
	var out []time.Duration
	for _, d := range all {
		out = append(out, d...)
	}
	return out
}

// TestSubmissionAge checks the age that follows from what was observed and from a client's remaining
// time. A wrong age other than zero would place a job that has not waited as one that has.
func TestSubmissionAge(t *testing.T) {
	const second = time.Second
	most := repeat(100, 3*second)
	varied := make([]time.Duration, 0, 100)
	for n := range 100 {
		varied = append(varied, time.Duration(n+1)*250*time.Millisecond)
	}
	// Sixteen values are counted; the others, a third of all, are not.
	var manyValues, rare []time.Duration
	for n := range 16 {
		manyValues = append(manyValues, repeat(4, time.Duration(n+3)*second)...)
		rare = append(rare, time.Duration(n+10)*second)
	}
	manyValues = append(manyValues, repeat(32, 500*time.Millisecond)...)
	for _, c := range []struct {
		name      string
		known     []time.Duration
		remaining time.Duration
		want      time.Duration
	}{
		{"retry", most, 1990 * time.Millisecond, 1010 * time.Millisecond},
		{"second retry", most, 980 * time.Millisecond, 2020 * time.Millisecond},
		{"first submission", most, 3 * second, 0},
		{"slow first submission", most, 2800 * time.Millisecond, 0},
		{"longer than usual", most, 30 * second, 0},
		{"no deadline", most, 0, 0},
		{"negative", most, -second, 0},
		{"the greatest duration", most, 1<<63 - 1, 0},
		{"an hour", repeat(100, time.Hour-second), time.Hour, 0},
		{"nothing known", nil, second, 0},
		{"too little known", repeat(7, 3*second), second, 0},
		{"enough known", repeat(8, 3*second), second, 2 * second},
		{"bounded", repeat(100, 30*second), second, workload.MaxSubmissionAge},
		{"implausible known deadlines", repeat(100, 2*time.Hour), second, 0},
		{"short by nature", mixed(most, repeat(10, second)), second, 0},
		{"short by nature, delayed", mixed(most, repeat(10, second)), 950 * time.Millisecond, 0},
		{"retry next to a short one", mixed(most, repeat(10, second)), 2 * second, second},
		{"retry of a short one", mixed(most, repeat(10, second)), 500 * time.Millisecond, 500 * time.Millisecond},
		{"a few retries counted by mistake", mixed(most, repeat(2, 2*second)), 2 * second, second},
		{"one retry counted by mistake", mixed(repeat(20, 3*second), repeat(1, 2*second)), 2 * second, second},
		{"too many values", manyValues, second, 0},
		{"rare values long ago", mixed(rare, repeat(10000, 3*second)), 2 * second, second},
		{"varied within an interval", mixed(repeat(50, 3090*time.Millisecond), repeat(50, 3010*time.Millisecond)), 2 * second, 1010 * time.Millisecond},
		{"varied", varied, 125 * time.Millisecond, 0},
		{"varied a little", mixed(repeat(50, 3*second), repeat(50, 2970*time.Millisecond)), 2 * second, 970 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := agesKnowing(c.known...).Age(calm, "c", "q", c.remaining); got != c.want {
				t.Errorf("age %v, want %v", got, c.want)
			}
		})
	}
}

// TestSubmissionAgeOnlyAfterRefusals checks that a shorter deadline than usual means nothing unless
// this member could not store a submission shortly before, and that the deadlines of that time,
// many of which are those of retries, are not learned.
func TestSubmissionAgeOnlyAfterRefusals(t *testing.T) {
	for name, outcome := range map[string]error{"refused": errStore, "unknown": &intake.AmbiguousError{Err: errors.New("lost")}} {
		t.Run(name, func(t *testing.T) {
			a := intake.NewSubmissionAges(agesStart)
			for range 100 {
				a.Observe(calm, "c", "q", 3*time.Second, nil)
			}
			if got := a.Age(calm, "c", "q", 2*time.Second); got != 0 {
				t.Errorf("age %v without a refusal, want 0", got)
			}
			a.Observe(calm, "c", "q", 3*time.Second, outcome)
			for range 1000 {
				a.Observe(calm.Add(4*time.Second), "c", "q", 2*time.Second, nil)
			}
			if got := a.Age(calm.Add(4999*time.Millisecond), "c", "q", 2*time.Second); got != time.Second {
				t.Errorf("age %v soon after a refusal, want 1s", got)
			}
			if got := a.Age(calm.Add(5*time.Second), "c", "q", 2*time.Second); got != 0 {
				t.Errorf("age %v long after a refusal, want 0", got)
			}
		})
	}
	t.Run("other errors", func(t *testing.T) {
		a := intake.NewSubmissionAges(agesStart)
		for range 100 {
			a.Observe(calm, "c", "q", 3*time.Second, nil)
			a.Observe(calm, "c", "q", 2*time.Second, &intake.BacklogError{})
		}
		if got := a.Age(calm, "c", "q", time.Second); got != 0 {
			t.Errorf("age %v after refusals for a backlog, want 0", got)
		}
		a.Observe(calm, "c", "q", 0, errStore)
		if got := a.Age(calm, "c", "q", 2*time.Second); got != time.Second {
			t.Errorf("age %v, want 1s: the deadlines of submissions that were not accepted must not be learned", got)
		}
	})
}

// TestNewProcessLearnsNoRetries checks that a process which starts at the end of an outage does not
// learn the deadlines of retries as those of first submissions.
func TestNewProcessLearnsNoRetries(t *testing.T) {
	a := intake.NewSubmissionAges(agesStart)
	for range 100 {
		a.Observe(agesStart.Add(time.Second), "c", "q", 2*time.Second, nil)
	}
	for range 100 {
		a.Observe(calm, "c", "q", 3*time.Second, nil)
	}
	a.Observe(calm, "c", "q", 0, errStore)
	if got := a.Age(calm, "c", "q", 2*time.Second); got != time.Second {
		t.Errorf("age %v, want 1s", got)
	}
}

// TestDeadlinesOfOthersDoNotCount checks that the deadlines of other customers and queues do not
// count once enough are known of a customer and queue. Otherwise a client with short deadlines would
// seem to have waited.
func TestDeadlinesOfOthersDoNotCount(t *testing.T) {
	a := intake.NewSubmissionAges(agesStart)
	for range 100 {
		a.Observe(calm, "c", "q", 3*time.Second, nil)
	}
	for _, other := range [][2]string{{"d", "q"}, {"c", "r"}, {"", "q"}, {"cq", ""}} {
		for range 8 {
			a.Observe(calm, other[0], other[1], time.Second, nil)
		}
	}
	a.Observe(calm, "c", "q", 0, errStore)
	for _, other := range [][2]string{{"d", "q"}, {"c", "r"}, {"", "q"}, {"cq", ""}} {
		if got := a.Age(calm, other[0], other[1], 500*time.Millisecond); got != 500*time.Millisecond {
			t.Errorf("customer %q, queue %q: age %v, want 500ms", other[0], other[1], got)
		}
	}
}

// TestDeadlinesOfAllCount checks that the deadlines of all customers stand in for those of a customer
// and queue of which too few are known: a member may see only a few submissions of each. Deadlines
// that are usual among all of them, short ones too, have no age.
func TestDeadlinesOfAllCount(t *testing.T) {
	a := agesKnowing(mixed(repeat(100, 3*time.Second), repeat(10, time.Second))...)
	for remaining, want := range map[time.Duration]time.Duration{2 * time.Second: time.Second, time.Second: 0, 3 * time.Second: 0} {
		if got := a.Age(calm, "d", "r", remaining); got != want {
			t.Errorf("remaining time %v of a new customer: age %v, want %v", remaining, got, want)
		}
	}
}

// TestFewShortDeadlines checks that a customer whose deadlines are all short has no age while too few
// of them are known: compared with the longer ones of others, it would seem to have waited. A deadline
// that is unlike its own few is still compared with those of all.
func TestFewShortDeadlines(t *testing.T) {
	for _, few := range []int{1, 7} {
		a := intake.NewSubmissionAges(agesStart)
		for range 400 {
			a.Observe(calm, "c", "q", 3*time.Second, nil)
		}
		for range few {
			a.Observe(calm, "d", "r", 500*time.Millisecond, nil)
		}
		a.Observe(calm, "c", "q", 0, errStore)
		for remaining, want := range map[time.Duration]time.Duration{
			500 * time.Millisecond: 0, 201 * time.Millisecond: 0, 599 * time.Millisecond: 0, 1500 * time.Millisecond: 1500 * time.Millisecond,
		} {
			if got := a.Age(calm, "d", "r", remaining); got != want {
				t.Errorf("%d known: age %v with %v left, want %v", few, got, remaining, want)
			}
		}
	}
}

// TestUsualDeadlineChanges checks that a new first deadline replaces the former one, so that clients
// which have changed to a shorter one do not seem to have waited for good.
func TestUsualDeadlineChanges(t *testing.T) {
	a := agesKnowing(mixed(repeat(10000, 3*time.Second), repeat(20, 2*time.Second))...)
	if got := a.Age(calm, "c", "q", 2*time.Second); got != 0 {
		t.Errorf("age %v after 20 submissions with the new deadline, want 0", got)
	}
	a = agesKnowing(mixed(repeat(10000, 3*time.Second), repeat(10000, 2*time.Second))...)
	if got := a.Age(calm, "c", "q", time.Second); got != time.Second {
		t.Errorf("age %v of a retry, want 1s, from the new deadline", got)
	}
}

// TestSubmissionAgesAreBounded checks that the memory does not grow with the number of customers,
// queues and values, and that the sources in use are the ones that are kept.
func TestSubmissionAgesAreBounded(t *testing.T) {
	a := intake.NewSubmissionAges(agesStart)
	now := calm
	for n := range 5000 {
		now = now.Add(time.Millisecond)
		a.Observe(now, fmt.Sprint(n), "q", time.Second, nil)
		a.Observe(now, "c", "q", 3*time.Second, nil)
		a.Observe(now, "many", "q", time.Duration(n+1)*100*time.Millisecond, nil)
	}
	sources, values := a.Size()
	if sources > 512 || values > sources+2*15 {
		t.Errorf("%d sources with %d values, want at most 512 with a value each, and 16 for two of them: a customer's and that of all", sources, values)
	}
	a.Observe(now, "c", "q", 0, errStore)
	if got := a.Age(now, "c", "q", 2*time.Second); got != time.Second {
		t.Errorf("age %v of a customer in constant use, want 1s", got)
	}
}

// TestSubmissionAgeIsInRange checks that no sequence of submissions leads to an age below zero,
// above the bound, or that is not less than the longest deadline observed.
func TestSubmissionAgeIsInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := intake.NewSubmissionAges(agesStart)
		now, longest := agesStart, time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "submissions") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "ms")) * time.Millisecond)
			remaining := time.Duration(rapid.SampledFrom([]int64{-1, 0, 1, 100, 1000, 2000, 3000, 3600000, 1 << 40}).Draw(t, "remaining")) * time.Millisecond
			age := a.Age(now, "c", "q", remaining)
			if age < 0 || age > workload.MaxSubmissionAge || age > 0 && remaining+age > longest {
				t.Fatalf("age %v of a submission with %v left, longest deadline %v", age, remaining, longest)
			}
			outcome := rapid.SampledFrom([]error{nil, nil, nil, errStore, &intake.TakenError{}}).Draw(t, "outcome")
			a.Observe(now, "c", "q", remaining, outcome)
			if outcome == nil {
				longest = max(longest, remaining)
			}
		}
	})
}

// TestSubmissionAgesConcurrently lets the race detector see concurrent use.
func TestSubmissionAgesConcurrently(*testing.T) {
	a := agesKnowing()
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			for range 200 {
				a.Observe(calm.Add(time.Hour), fmt.Sprint(n%2), "q", time.Second, nil)
				a.Age(calm, fmt.Sprint(n%2), "q", time.Second)
			}
		})
	}
	wg.Wait()
}

// learnDeadlines submits jobs with a deadline of 3 s until the service knows it.
func (h *harness) learnDeadlines(t *testing.T, q *workload.Queue) {
	t.Helper()
	h.clock.advance(time.Minute)
	for n := range 32 {
		if err := h.service.SubmitWithin(context.Background(), q, fmt.Sprintf("%016x", n), oneStep(1), 3*time.Second); err != nil {
			t.Fatal(err)
		}
	}
}

// refuse has the service refuse a submission, because neither it nor a peer can store the job.
func (h *harness) refuse(t *testing.T, q *workload.Queue) {
	t.Helper()
	h.reachable, h.owners.forwardErr = false, errStore
	var refused *intake.RefusedError
	if err := h.service.SubmitWithin(context.Background(), q, jobID, oneStep(1), 3*time.Second); !errors.As(err, &refused) {
		t.Fatalf("error %v, want a refusal", err)
	}
	h.reachable, h.owners.forwardErr = true, nil
}

// decode returns a job from its stored form.
func decode(t *testing.T, data []byte) *workload.Job {
	t.Helper()
	j, err := workload.DecodeAccepted(jobID, data)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// TestRefusedJobCountsFromItsFirstSubmission checks that a job that was refused and is submitted
// again is stored, and is given to the owner and to a peer, with the time of the first submission;
// and that a further submission of the stored job changes nothing.
func TestRefusedJobCountsFromItsFirstSubmission(t *testing.T) {
	q := &workload.Queue{Name: "q", Pool: "p"}
	newService := func(t *testing.T) (*harness, time.Time) {
		h := newHarness()
		h.service = h.newService(intake.WithSubmissionAges(intake.NewSubmissionAges(h.clock.Now())))
		h.learnDeadlines(t, q)
		first := h.clock.Now()
		h.refuse(t, q)
		h.clock.advance(time.Second)
		return h, first
	}
	t.Run("stored here", func(t *testing.T) {
		h, first := newService(t)
		if err := h.service.SubmitWithin(context.Background(), q, jobID, oneStep(1), 2*time.Second); err != nil {
			t.Fatal(err)
		}
		data := h.stored(t, "p", jobID).Value()
		if got := decode(t, data); !got.FirstSubmitted().Equal(first) || !got.Submitted().Equal(h.clock.Now()) {
			t.Errorf("first submitted at %v, accepted at %v, want %v and %v", got.FirstSubmitted(), got.Submitted(), first, h.clock.Now())
		}
		if last := h.owners.notified[len(h.owners.notified)-1]; last.id != jobID || last.accepted != string(data) {
			t.Errorf("the owner is notified of %+v, want %s", last, data)
		}
		if err := h.service.SubmitWithin(context.Background(), q, jobID, oneStep(1), time.Second); err != nil {
			t.Fatal(err)
		}
		if again := h.stored(t, "p", jobID).Value(); string(again) != string(data) {
			t.Errorf("the stored job changed to %s with a further submission", again)
		}
	})
	t.Run("stored by a peer", func(t *testing.T) {
		h, first := newService(t)
		h.reachable = false
		if err := h.service.SubmitWithin(context.Background(), q, jobID, oneStep(1), 2*time.Second); err != nil {
			t.Fatal(err)
		}
		last := h.owners.forwarded[len(h.owners.forwarded)-1]
		if got := decode(t, last.Accepted); !got.FirstSubmitted().Equal(first) {
			t.Errorf("a peer gets the job as first submitted at %v, want %v", got.FirstSubmitted(), first)
		}
	})
}

// TestAgesAreOffByDefault checks that a service without SubmissionAges stores every job as it did
// before there were any.
func TestAgesAreOffByDefault(t *testing.T) {
	h := newHarness()
	q := &workload.Queue{Name: "q", Pool: "p"}
	h.learnDeadlines(t, q)
	h.refuse(t, q)
	h.clock.advance(time.Second)
	if err := h.service.SubmitWithin(context.Background(), q, jobID, oneStep(1), 2*time.Second); err != nil {
		t.Fatal(err)
	}
	want, err := workload.New(jobID, "q", workload.Policy{}, oneStep(1), h.clock.Now()).EncodeAccepted()
	if got := h.stored(t, "p", jobID).Value(); err != nil || string(got) != string(want) {
		t.Errorf("stored job %s, want %s (%v)", got, want, err)
	}
}
