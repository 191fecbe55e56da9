package startbalancer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"wasabideal/internal/balancer/trace"
	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/disk/folder"
	"wasabideal/internal/disk/local"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/setting/settings"
	"wasabideal/internal/setting/wiring"
	"wasabideal/internal/start/stage"
)

const (
	configurationFile  = "configuration.json"
	subfolder          = "balancer"
	fileMode           = 0o640
	traceFlushInterval = time.Second
)

// Stage starts the balancer if the role includes one.
type Stage struct{}

// String names the stage.
func (Stage) String() string { return "start balancer" }

// Run starts and provides the balancer.
func (Stage) Run(ctx context.Context, i do.Injector) error {
	s := do.MustInvoke[settings.Settings](i)
	log := do.MustInvoke[hclog.Logger](i)
	if s.Role == settings.RoleControl {
		return &stage.SkipError{Reason: "role is " + s.Role}
	}
	x, err := wiring.Wiring{Clock: time.Now}.Balancer(s)
	if err != nil {
		return err
	}
	if err := enableStore(&x, s.DataFolder); err != nil {
		return err
	}
	if err := enableTrace(ctx, &x, s.Balancer.TraceFile); err != nil {
		return err
	}
	b, err := balancer.Listen(x, log.Named("balancer"))
	if err != nil {
		return err
	}
	b.Start(ctx)
	do.ProvideValue(i, b)
	a := b.Addresses()
	log.Info("balancer listening", "Fabric", a.Fabric, "Peer", a.Peer, "Rpc", a.Rpc, "Admin", a.Admin)
	return nil
}

// enableStore makes a balancer with a data folder store its configuration and start with the stored
// configuration.
func enableStore(x *balancer.Settings, path string) error {
	if path == "" {
		return nil
	}
	// A voter in the same process locks the data folder, so the balancer uses a subfolder.
	f, err := local.Open(filepath.Join(path, subfolder))
	if err != nil {
		return err
	}
	b, err := f.ReadFile(configurationFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read stored configuration: %w", err)
	}
	var c configuration.Configuration
	if err == nil && json.Unmarshal(b, &c) == nil && c.Check() == nil {
		x.SavedConfiguration = &c
	}
	x.SaveConfiguration = func(c configuration.Configuration) error {
		b, err := json.Marshal(c)
		if err != nil {
			return fmt.Errorf("encode configuration: %w", err)
		}
		return folder.Replace(f, configurationFile, b)
	}
	return nil
}

// enableTrace opens the trace file, which is flushed every second and at the end.
func enableTrace(ctx context.Context, x *balancer.Settings, file string) error {
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open TraceFile: %w", err)
	}
	w := &flusher{buffer: bufio.NewWriter(f)}
	x.Trace = trace.NewWriter(w)
	go w.run(ctx, f)
	return nil
}
