package daemon

import (
	"io"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/settings"
)

// This file defines the settings of pointportd.

// Embedded is the value of -platform that starts a simulated platform in this
// process.
const Embedded = "embedded"

// Settings are the settings that pointportd reads from its flags and environment.
type Settings struct {
	callers   string
	operators string
	metrics   string
	platform  string
	name      string
	zone      string
	zones     []string
	logLevel  string
	logFormat string

	stopNotice           time.Duration
	stopTimeout          time.Duration
	refreshInterval      time.Duration
	listByteRate         int
	ownZoneConnections   int
	otherZoneConnections int
	elasticConnections   int
	claimWriteRate       float64
	claimRetention       time.Duration
	maxHeaderBytes       int
	chooser              string
	controlEnabled       bool

	embeddedInstances int
}

// Define adds the settings of pointportd to a set.
func (s *Settings) Define(set *settings.Set) {
	set.Address(&s.callers, "callers", "127.0.0.1:8080", "address that serves callers")
	set.Address(&s.operators, "operators", "127.0.0.1:8081", "address that serves operators")
	set.Address(&s.metrics, "metrics", "127.0.0.1:8082", "address that serves metrics, liveness and readiness")
	set.URL(&s.platform, "platform", Embedded, "URL of the platform, or \"embedded\" for a stand-in in this process", Embedded)
	set.Name(&s.name, "name", "entry-1", "name of this entry instance")
	set.Name(&s.zone, "zone", "zone-a", "availability zone of this entry instance")
	set.Names(&s.zones, "zones", "zone-a", "every availability zone, the same list and order at every entry instance")
	set.OneOf(&s.logLevel, "log-level", "info", "least level that is logged", "debug", "info", "warn", "error")
	set.OneOf(&s.logFormat, "log-format", "text", "format of the log", "text", "json")
	set.Duration(&s.stopNotice, "stop-notice", 5*time.Second, "how long a planned stop goes on taking requests after readiness is off, for the balancer to notice", 0, 10*time.Minute)
	set.Duration(&s.stopTimeout, "stop-bound", time.Minute, "how long a planned stop waits for requests in flight", time.Second, time.Hour)
	set.Duration(&s.refreshInterval, "refresh", 2*time.Second, "how often the platform's list of instances is read, if -list-bytes allows", 100*time.Millisecond, time.Minute)
	set.Int(&s.listByteRate, "list-bytes", 1024, "bytes a second that reading the platform's list may take on average, by the entry instance and by its planner each", 1, 1<<30)
	set.Int(&s.ownZoneConnections, "connections-own", 12, "connections to each upstream of the own availability zone that are always allowed", 1, 10000)
	set.Int(&s.otherZoneConnections, "connections-other", 0, "connections to each upstream of another availability zone that are always allowed", 0, 10000)
	set.Int(&s.elasticConnections, "connections-elastic", 16, "connections to each upstream that entry instances lease from each other when they need more; the same at every entry instance", 0, 10000)
	set.Float(&s.claimWriteRate, "claim-writes", claim.DefaultWriteRate, "writes of claims a second that this entry instance may make", 0.1, 1000)
	set.Duration(&s.claimRetention, "claim-retention", claim.DefaultRetention, "how long a key stays claimed; the same at every entry instance", time.Minute, 7*24*time.Hour)
	set.Int(&s.maxHeaderBytes, "max-header", 64<<10, "bytes of a request's headers that are read", 1<<10, 1<<20)
	set.OneOf(&s.chooser, "chooser", "forecast", "how an upstream is chosen; all but forecast are baselines for experiments", "forecast", "least-in-flight", "round-robin")
	set.Bool(&s.controlEnabled, "control", true, "whether this entry instance takes part in planning and placement")
	set.Int(&s.embeddedInstances, "embedded-instances", 8, "instances in each availability zone of the embedded stand-in", 1, 50)
}

func (s *Settings) zoneIDs() []pointport.ZoneID {
	out := make([]pointport.ZoneID, len(s.zones))
	for i, z := range s.zones {
		out[i] = pointport.ZoneID(z)
	}
	return out
}

// Check validates the combination of settings: -zone must be one of -zones. It
// fails with a *settings.Error.
func (s *Settings) Check() error {
	for _, z := range s.zones {
		if z == s.zone {
			return nil
		}
	}
	return &settings.Error{Name: "zone", Value: s.zone, Reason: "must be one of -zones"}
}

// Logger returns a logger with the configured level and format that writes to w.
func (s *Settings) Logger(w io.Writer) *slog.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
	options := &slog.HandlerOptions{Level: levels[s.logLevel]}
	if s.logFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
