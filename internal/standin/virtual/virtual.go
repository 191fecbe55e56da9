package virtual

import (
	"container/heap"
	"time"
)

type event struct {
	at   time.Time
	call func()
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

// Clock is a virtual clock with a queue of scheduled events. It is not safe for concurrent use.
type Clock struct {
	Now    time.Time
	events queue
}

// AfterFunc schedules a function call after a duration of virtual time.
func (c *Clock) AfterFunc(d time.Duration, call func()) {
	heap.Push(&c.events, event{c.Now.Add(d), call})
}

// RunUntil executes all events up to and including the given time and advances the clock to it.
func (c *Clock) RunUntil(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.call()
	}
	c.Now = until
}
