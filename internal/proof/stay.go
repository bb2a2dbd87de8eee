package proof

import (
	"context"
	"fmt"
	"io"
)

// RunDemoCluster starts the processes of the demonstration, prints the settings for clients, and stops the
// processes when ctx ends. It reports whether start and stop succeeded.
func RunDemoCluster(ctx context.Context, e Env, out io.Writer) bool {
	c, err := Launch(ctx, e.Bin, e.Dir, DefaultSpec())
	if err != nil {
		fmt.Fprintln(out, "start:", err)
		return false
	}
	defer c.Kill()
	fmt.Fprintf(out, "export SNIPEGW_ADDRESS=%s\n", c.Entries[0].HTTP)
	fmt.Fprintf(out, "export SNIPEGW_TOKEN=%s\n", TeamToken("routes"))
	fmt.Fprintf(out, "# operator token: %s; service: %s; interrupt with Ctrl-C to stop\n", OperatorToken, c.Spec.Service)
	<-ctx.Done()
	if _, err := c.Stop(StopTimeout); err != nil {
		fmt.Fprintln(out, "stop FAILED:", err)
		return false
	}
	return true
}
