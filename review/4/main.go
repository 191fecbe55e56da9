//go:build review

// Command 4 lets one core machine lose its disk twice in a row.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"wasabideal/review/harness"
)

// The bounds of the small deployments in the users' pages.
const (
	contact  = 4 * time.Second
	recovery = 12 * time.Second
)

const (
	// down is how long the machine is down at each loss of its disk.
	down = time.Second
	// joinTimeout is how long the machine may take until the others list it as a voter.
	joinTimeout = 10 * time.Second
	// copied is how long the machine lives after it was listed as a learner: it has the log then.
	copied = 10 * time.Millisecond
	// acknowledged is the version that is read back at the end.
	acknowledged = 9
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	record, err := harness.NewRecord("review/4/record.txt")
	if err == nil {
		var code int
		if code, err = run(record, os.Getenv("TROUBLE") != "0"); err == nil {
			os.Exit(code)
		}
	}
	fmt.Println("the case could not run:", err)
	os.Exit(failed)
}

func run(record *harness.Record, trouble bool) (int, error) {
	site, err := harness.NewSite(record)
	if err != nil {
		return failed, err
	}
	defer site.Close()
	a := site.Add("core", "core-port-tawfik-1", "port-tawfik")
	b := site.Add("core", "core-adabiya-1", "adabiya")
	c := site.Add("core", "core-ismailia-1", "ismailia")
	all := []*harness.Machine{a, b, c}
	for _, m := range all {
		if err := m.Start(all, true); err != nil {
			return failed, err
		}
	}
	if site.Publish(5, all, 10*time.Second) == nil {
		return failed, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(contact)
	if site.Publish(acknowledged, all, 10*time.Second) == nil {
		return failed, fmt.Errorf("the second configuration was not acknowledged")
	}
	if trouble {
		if err := loseTwice(site, c, all); err != nil {
			return failed, err
		}
	}
	record.Write("all machines are back; wait for recovery_s")
	time.Sleep(recovery)
	code := readBack(site, all)
	for _, m := range all {
		if err := m.Check(); err != nil {
			record.Write("%v", err)
			code = broken
		}
	}
	return code, nil
}

// loseTwice lets a machine lose its disk, and again after it has come back.
func loseTwice(site *harness.Site, m *harness.Machine, all []*harness.Machine) error {
	if err := loseDisk(site, m, all); err != nil {
		return err
	}
	if pause, err := strconv.Atoi(os.Getenv("PAUSE")); err == nil {
		time.Sleep(time.Duration(pause) * time.Millisecond)
	} else if err := waitForJoin(site, all[:2]); err != nil {
		return err
	}
	return loseDisk(site, m, all)
}

// loseDisk kills the process of a machine, deletes its data folder, and starts it again as the platform does.
func loseDisk(site *harness.Site, m *harness.Machine, seeds []*harness.Machine) error {
	m.Kill()
	if err := m.LoseDisk(); err != nil {
		return err
	}
	time.Sleep(down)
	return m.Start(seeds, false)
}

// waitForJoin waits until one of the machines has logged that the returned one was added as a learner.
func waitForJoin(site *harness.Site, machines []*harness.Machine) error {
	begun := time.Now()
	offsets := make([]int, len(machines))
	for i, m := range machines {
		offsets[i] = len(logOf(site, m))
	}
	for ; time.Since(begun) < joinTimeout; time.Sleep(2 * time.Millisecond) {
		for i, m := range machines {
			for _, line := range bytes.Split(logOf(site, m)[offsets[i]:], []byte("\n")) {
				if at, ok := listsLearner(line); ok {
					time.Sleep(time.Until(at.Add(copied)))
					site.Record.Write("%s logged the learner %d ms after the restart", m.Name, at.Sub(begun).Milliseconds())
					return nil
				}
			}
		}
	}
	return fmt.Errorf("no machine logged a learner")
}

func logOf(site *harness.Site, m *harness.Machine) []byte {
	b, err := os.ReadFile(filepath.Join(site.Folder, m.Name, "log"))
	if err != nil {
		return nil
	}
	return b
}

// listsLearner returns the time of a log line that shows a list with a learner.
func listsLearner(line []byte) (time.Time, bool) {
	var x struct {
		At     time.Time `json:"@timestamp"`
		Voters string
	}
	return x.At, json.Unmarshal(line, &x) == nil && strings.Contains(x.Voters, "(learner)")
}

// readBack reads the configuration for longer than contact_ms, and sends one more change.
func readBack(site *harness.Site, machines []*harness.Machine) int {
	newest := 0
	for end := time.Now().Add(4 * contact); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range machines {
			version := site.Read(m)
			if version != 0 && version < acknowledged {
				site.Record.Write("BROKEN, CONFIG: %s answers with version %d, older than the acknowledged %d", m.Name, version, acknowledged)
				return broken
			}
			newest = max(newest, version)
		}
	}
	if newest == 0 {
		site.Record.Write("BROKEN, CONFIG: the acknowledged version %d does not come when it is read back", acknowledged)
		by := site.Publish(12, machines, 6*time.Second)
		site.Record.Write("one more change is acknowledged: %t", by != nil)
		return broken
	}
	site.Record.Write("held: version %d is read back", newest)
	return held
}
