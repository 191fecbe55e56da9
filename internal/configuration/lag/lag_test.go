package lag_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/lag"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestBehindCountsFromFirstNewerAnnouncement(t *testing.T) {
	l := lag.New(start)
	require.Equal(t, 2*time.Second, l.Behind(at(2000)), "no configuration since the start")
	l.Apply(at(2000), 33)
	require.Zero(t, l.Behind(at(2500)))
	l.Announce(at(3000), "parent", 34)
	l.Announce(at(4000), "voter", 37)
	require.Equal(t, 2*time.Second, l.Behind(at(5000)))
	l.Apply(at(5000), 35)
	require.Equal(t, time.Second, l.Behind(at(6000)), "progress restarts the count")
	l.Apply(at(6000), 37)
	require.Zero(t, l.Behind(at(7000)))
	require.Equal(t, uint64(37), l.Announced())
}

func TestReportNamesFailedCallsWhileBehind(t *testing.T) {
	l := lag.New(start)
	l.Apply(start, 33)
	l.RecordPoll("voter", errors.New("timeout of a current process"))
	_, due := l.Report(at(900))
	require.False(t, due)
	l.Announce(at(1000), "voter", 37)
	l.RecordPoll("voter", errors.New("poll timed out"))
	l.RecordFetch("parent", errors.New("fetch timed out"))
	l.RecordFetch("voter", nil)
	_, due = l.Report(at(1900))
	require.False(t, due)
	args, due := l.Report(at(2000))
	require.True(t, due)
	require.Equal(t, []any{
		"Held", uint64(33), "Announced", uint64(37), "AnnouncedBy", "voter", "Behind", "1s",
		"PollsAnswered", 0, "PollsFailed", 1, "FetchesAnswered", 1, "FetchesFailed", 1,
		"PollError", "poll timed out", "PollAddress", "voter", "FetchError", "fetch timed out", "FetchAddress", "parent",
	}, args)
	_, due = l.Report(at(2500))
	require.False(t, due, "one line a second")
	l.Apply(at(2600), 37)
	_, due = l.Report(at(4000))
	require.False(t, due)
	require.Equal(t, 1, l.FetchesFailed())
}
