package virtual

import (
	"container/heap"
	"time"
)

type event struct {
	at time.Time
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Time is the present and what is to happen; one goroutine owns it.
type Time struct {
	Now    time.Time
	events queue
}

// After lets something happen so much later.
func (t *Time) After(d time.Duration, do func()) { heap.Push(&t.events, event{t.Now.Add(d), do}) }

// Run lets all happen until a time, which is the present then.
func (t *Time) Run(until time.Time) {
	for len(t.events) > 0 && !t.events[0].at.After(until) {
		e := heap.Pop(&t.events).(event)
		t.Now = e.at
		e.do()
	}
	t.Now = until
}
