package daemon

import (
	"context"
	"log/slog"

	"github.com/ansel1/merry/v2"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/command"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/standin"
)

// This file defines the embedded platform, which is the default: a simulated
// platform and instances in the same process, for trying pointport out.

// startEmbedded starts the simulated platform and returns its URL.
func startEmbedded(ctx context.Context, s *Settings, logger *slog.Logger) (string, error) {
	zones := make([]pointport.ZoneID, len(s.zones))
	for i, z := range s.zones {
		zones[i] = pointport.ZoneID(z)
	}
	fleet, err := standin.NewFleet(clock.System{}, standin.WithZones(s.embeddedInstances, zones...))
	if err != nil {
		return "", merry.Prepend(err, "embedded instances")
	}
	p := standin.NewPlatform(memory.New(clock.System{}), fleet)
	addr, err := p.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", merry.Prepend(err, "embedded platform")
	}
	logger.Info("embedded platform started", slog.String("platform", "http://"+addr.String()), slog.Int("instances", len(fleet.All())))
	return "http://" + addr.String(), nil
}

// demoTemplate is the template that the embedded platform starts with.
const demoTemplate = `
kind: Template
name: hello
routes:
  - pathPrefix: /hello
    repeatable: true
    timeout: 5s
  - pathPrefix: /payout
    methods: [POST]
    requireKey: true
    timeout: 10s
pool:
  size: 4
  spread: [zone, rack]
maintenance:
  budget: "50%"
  drainQuiet: 1s
`

// createDemoTemplate configures the template of the embedded platform, so that
// requests can be served without further configuration.
func (e *Entry) createDemoTemplate(ctx context.Context) error {
	objects, err := config.Parse("embedded template", []byte(demoTemplate))
	if err != nil {
		return merry.Wrap(err)
	}
	for i := range objects {
		_, err := command.Configure(ctx, e.configs, e.clock, command.Proposal{
			Author: Embedded, Reason: "so that a first request has somewhere to go", Object: &objects[i],
		})
		if err != nil {
			return merry.Prepend(err, "embedded template")
		}
	}
	return nil
}
