//go:build review

package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"wasabideal/internal/soak/fleet"
)

// Program is the binary that the build of the deploy file makes, and Argument its argument.
const (
	Program  = "target/wasabideal"
	Argument = "machine"
)

// Machine is one simulated machine with at most one process.
type Machine struct {
	Name, Zone, IP string
	// Class is the name of the settings file in review/platform: core or front.
	Class   string
	site    *Site
	process *fleet.Process
	running bool
}

// Site holds the machines of one run.
type Site struct {
	Folder  string
	Record  *Record
	words   words
	network string
	// cold is what the configuration says of cold targets, empty for nothing.
	cold     string
	machines []*Machine
}

// NewSite creates a site in a temporary folder and chooses free loopback addresses.
func NewSite(record *Record) (*Site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w, err := readWords()
	if err != nil {
		return nil, err
	}
	s := &Site{Folder: folder, Record: record, words: w}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		if s.free(s.network + "1") {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address")
}

// free reports whether the ports of a machine are free at an address.
func (s *Site) free(ip string) bool {
	for _, port := range []string{"8166", "8167", "7720", "7721", "9464"} {
		l, err := net.Listen("tcp", ip+":"+port)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Address returns a loopback address of the site's network.
func (s *Site) Address(host int) string { return fmt.Sprintf("%s%d", s.network, host) }

// Add adds a machine without starting it.
func (s *Site) Add(class, name, zone string) *Machine {
	m := &Machine{Name: name, Zone: zone, Class: class, site: s, IP: s.Address(len(s.machines) + 1)}
	s.machines = append(s.machines, m)
	return m
}

// Control returns the address at which a core machine serves the operator and the targets.
func (m *Machine) Control() string { return m.IP + ":8166" }

func (m *Machine) data() string { return filepath.Join(m.site.Folder, m.Name, "data") }

// Start writes the settings file, as the platform does at every start, and starts the process.
func (m *Machine) Start(seeds []*Machine, bootstrap bool) error {
	var addresses []string
	for _, x := range seeds {
		addresses = append(addresses, x.Control())
	}
	folder := filepath.Join(m.site.Folder, m.Name)
	if err := os.MkdirAll(m.data(), 0o750); err != nil {
		return err
	}
	settings, err := renderSettings(m.Class, map[string]string{
		"NAME": m.Name, "IP": m.IP, "ZONE": m.Zone, "SEEDS": strings.Join(addresses, ","),
		"BOOTSTRAP": fmt.Sprint(bootstrap), "DATA": m.data(),
	})
	if err != nil {
		return err
	}
	file := filepath.Join(folder, "machine.toml")
	if err := os.WriteFile(file, []byte(settings), 0o640); err != nil {
		return err
	}
	m.process = &fleet.Process{
		Name: m.Name, Program: Program, Arguments: []string{Argument},
		Environment: []string{m.site.words["variable"] + "=" + file}, Log: filepath.Join(folder, "log"),
	}
	m.site.Record.Write("start %s at %s, seeds %s, bootstrap %t", m.Name, m.IP, strings.Join(addresses, " "), bootstrap)
	if err := m.process.Start(); err != nil {
		return err
	}
	m.running = true
	return nil
}

// Stop sends SIGTERM and waits for the end of the process.
func (m *Machine) Stop() error {
	m.site.Record.Write("SIGTERM to %s", m.Name)
	err := m.process.Stop()
	m.running = false
	m.site.Record.Write("%s has exited", m.Name)
	return err
}

// Kill sends SIGKILL and waits for the end of the process.
func (m *Machine) Kill() {
	m.site.Record.Write("SIGKILL to %s", m.Name)
	m.process.Kill()
	m.running = false
}

// Freeze suspends the process; Thaw continues it.
func (m *Machine) Freeze() {
	m.site.Record.Write("freeze %s", m.Name)
	m.process.Pause()
}

// Thaw continues a suspended process.
func (m *Machine) Thaw() {
	m.site.Record.Write("thaw %s", m.Name)
	m.process.Resume()
}

// LoseDisk deletes the data folder of a machine whose process has ended.
func (m *Machine) LoseDisk() error {
	m.site.Record.Write("%s loses its disk", m.Name)
	return os.RemoveAll(m.data())
}

// Check returns an error if the process ended by itself.
func (m *Machine) Check() error { return m.process.Check() }

// Close ends all processes and removes the folder, unless KEEP is set in the environment.
func (s *Site) Close() {
	for _, m := range s.machines {
		if m.running {
			m.process.Resume()
			m.process.Kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Folder)
	} else {
		fmt.Println("logs are kept in", s.Folder)
	}
}

var (
	variable = regexp.MustCompile(`\$([A-Z]+)`)
	section  = regexp.MustCompile(`\{\{([#^])([a-z_]+)\}\}(.*?)\{\{/[a-z_]+\}\}`)
	field    = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// renderSettings fills in the template of the deploy file, as far as that template needs it.
func renderSettings(class string, values map[string]string) (string, error) {
	example, err := os.ReadFile(filepath.Join("review", "platform", class+".conf"))
	if err != nil {
		return "", err
	}
	template, err := os.ReadFile("deploy/machine.toml.tmpl")
	if err != nil {
		return "", err
	}
	fields := map[string]string{}
	var zones []string
	for _, line := range strings.Split(string(example), "\n") {
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		fields[name] = variable.ReplaceAllStringFunc(value, func(v string) string { return values[v[1:]] })
		if zone, ok := strings.CutPrefix(name, "zones."); ok {
			zones = append(zones, zone)
		}
	}
	text := section.ReplaceAllStringFunc(string(template), func(x string) string {
		p := section.FindStringSubmatch(x)
		switch {
		case p[2] == "zones":
			return strings.Join(zones, ",")
		case (fields[p[2]] == "true") == (p[1] == "#"):
			return p[3]
		default:
			return ""
		}
	})
	return field.ReplaceAllStringFunc(text, func(x string) string { return fields[field.FindStringSubmatch(x)[1]] }), nil
}
