package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"flaxcove/choice"
	"flaxcove/internal/routes"
)

func routesExplain() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the endpoints to which a message may be sent, and the route that allows them", ArgsUsage: "FILE ...",
		Description: "Example: flaxcove routes explain --dest 1 --workload order routes.toml list.toml",
		Flags: []cli.Flag{flagJSON, &cli.Int64Flag{Name: "dest", Usage: "the number of the message's destination", Required: true},
			&cli.StringFlag{Name: "workload"}, &cli.StringFlag{Name: "tenant"}, &cli.StringFlag{Name: "key"}},
		Action: runRoutesExplain,
	}
}

// noEndpointTexts describes, by the no-endpoint policy of a route, what happens to a message while no endpoint is allowed.
// The texts are values of the JSON output.
var noEndpointTexts = map[routes.NoEndpointPolicy]string{routes.Hold: "held until one is there", routes.HandBack: "handed back with a time"}

// runRoutesExplain resolves the route of the message that the flags describe, and prints the route and the allowed endpoints
// with their shares of the traffic.
func runRoutesExplain(_ context.Context, c *cli.Command) error {
	r, err := loadRouting(c)
	if err != nil {
		return err
	}
	message := &routes.Message{Destination: choice.DestinationID(c.Int64("dest")), Class: c.String("workload"), Tenant: c.String("tenant"), Key: c.String("key")}
	resolved := routes.Resolve(routes.Compile(r.Rules), r.Overrides, message, r.List)
	noEndpointText := noEndpointTexts[resolved.NoEndpoint]
	if c.Bool("json") {
		return printJSON(map[string]any{"route": resolved.Rule, "open_sets": resolved.Sets, "pin": resolved.StickyBy, "allowed": resolved.Allowed,
			"nowhere": noEndpointText})
	}
	fmt.Printf("route: %q, open sets: %d, pinned by: %q\n", resolved.Rule, resolved.Sets, resolved.StickyBy)
	total := 0.0
	for _, a := range resolved.Allowed {
		total += a.Weight
	}
	for _, a := range resolved.Allowed {
		fmt.Printf("  %s  %.1f%%\n", a.Endpoint, 100*a.Weight/total)
	}
	if len(resolved.Allowed) == 0 {
		fmt.Println("  no allowed endpoint at present; the message is", noEndpointText)
	}
	return nil
}
