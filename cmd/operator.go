package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"wasabideal/internal/operator/client"
)

// operatorFlags are shared by the commands that connect to control voters.
type operatorFlags struct {
	Control []string      `help:"RPC addresses of control voters." default:"127.0.0.1:7401" env:"WASABIDEAL_CONTROL"`
	Token   string        `help:"Operator token." env:"WASABIDEAL_TOKEN"`
	Timeout time.Duration `help:"Time limit of the command, including retries." default:"15s"`
	JSON    bool          `help:"Print JSON."`
}

func (f *operatorFlags) client() *client.Client { return client.New(f.Control, f.Token) }

func (f *operatorFlags) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.Timeout)
}

func printJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(os.Stdout, string(b))
	return err
}

func currentUser() string {
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return fmt.Sprintf("uid-%d", os.Getuid())
}
