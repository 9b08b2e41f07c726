package main

// This file implements `flaxcove serve`: it sets the limits of the process, handles signals, starts the sender, joins a
// cluster if --cluster is set, and reloads the configuration on SIGHUP. The order of the steps matters: SIGHUP must be caught
// first. No decision about a message is made here.

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/config"
	"flaxcove/internal/sender"
)

// heapShare is the share of the memory limit that the heap may use. Stacks, sockets and the program itself need the rest.
const heapShare = 0.6

// Values of GOMAXPROCS. A sender runs one event loop on one thread; in a cluster, the cluster code gets a second thread.
const (
	threadsAlone       = 1
	threadsWithCluster = 2
)

func serveCommand() *cli.Command {
	return &cli.Command{Name: "serve", Usage: "run one sender, configured by EDGE_CONFIG and the other EDGE_ variables", Action: serve, Flags: []cli.Flag{
		&cli.BoolFlag{Name: "notes", Usage: "exchange notes about rate limits with other senders, if the configuration allows it"},
		&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the whole run to this file"},
		&cli.StringFlag{Name: "cluster", Usage: "join the cluster that this file describes"},
		&cli.BoolFlag{Name: "trace", Usage: "also log each step of each message, by its id, and the settings once"}}}
}

// serve runs one sender until it has drained.
func serve(_ context.Context, c *cli.Command) error {
	// This must come first: SIGHUP requests a reload of the configuration, but terminates the process until it is caught.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, clusterSettings, err := serveConfig(c.String("cluster"))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(heapShare * float64(cfg.Limits.MemoryMB<<20)))
	log, err := newLogger(c.Bool("trace"))
	if err != nil {
		return err
	}
	defer log.Sync()
	notes := c.Bool("notes")
	if notes {
		if err := cfg.EnableGossip(); err != nil {
			log.Warn("gossip between senders stays off although --notes is set", zap.Error(err))
		}
	}
	signalledAt := catchStopSignals()
	stopProfile, err := startProfile(c.String("profile"))
	if err != nil {
		return err
	}
	defer stopProfile()
	return runSender(cfg, clusterSettings, log, hangups, signalledAt, notes)
}

// serveConfig reads the configuration and, if clusterFile is not "", the cluster settings. It also sets GOMAXPROCS, which
// depends on whether the sender joins a cluster.
func serveConfig(clusterFile string) (*config.Config, *settings.Settings, error) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	runtime.GOMAXPROCS(threadsAlone)
	if clusterFile == "" {
		return cfg, nil, nil
	}
	runtime.GOMAXPROCS(threadsWithCluster)
	clusterSettings, err := settings.Load(clusterFile)
	if err != nil {
		return nil, nil, err
	}
	if cfg, err = withCachedSettings(cfg, clusterSettings); err != nil {
		return nil, nil, err
	}
	return cfg, clusterSettings, nil
}

// catchStopSignals ignores SIGPIPE, and catches SIGTERM and SIGINT. The channel receives the time of the first of them.
func catchStopSignals() <-chan time.Time {
	// Without this, a write to the log would terminate the process once the reader of the log has ended.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return firstSignalTime(signals)
}

// startProfile starts a CPU profile that is written to a file; it does nothing if path is "". Stop ends the profile and
// closes the file.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}

// runSender starts the sender, joins it to a cluster if clusterSettings is not nil, and serves until the sender has drained.
// The drain starts at the time received from signalledAt. Each signal on hangups reloads the configuration.
func runSender(cfg *config.Config, clusterSettings *settings.Settings, log *zap.Logger, hangups <-chan os.Signal, signalledAt <-chan time.Time, notes bool) error {
	s, err := sender.Start(cfg, log)
	if err != nil {
		return err
	}
	if clusterSettings != nil {
		leave, err := startCluster(clusterSettings, cfg, s, log)
		if err != nil {
			return err
		}
		defer leave()
	}
	go func() { s.DrainSince(<-signalledAt) }()
	go reloadOnHangup(s, hangups, notes)
	log.Debug("configuration", zap.Any("settings", cfg.Settings), zap.Any("limits", cfg.Limits), zap.Any("known", cfg.InitialList))
	log.Info("serving", zap.String("name", cfg.Name), zap.String("listen", s.Addr()), zap.String("version", version),
		zap.Uint64("configuration_version", cfg.Version))
	s.Run()
	return nil
}

// reloadOnHangup reloads the configuration on each SIGHUP, and passes it or the error to the sender.
func reloadOnHangup(s *sender.Sender, hangups <-chan os.Signal, notes bool) {
	for range hangups {
		fresh, err := config.Reload(os.Getenv)
		if notes && err == nil {
			_ = fresh.EnableGossip() // an error was logged at the start
		}
		s.Reload(fresh, err)
	}
}

// firstSignalTime returns a channel that receives the time of the first signal. The supervisor's grace period before it kills
// the process counts from that time, even if the process is still starting then.
func firstSignalTime(signals <-chan os.Signal) <-chan time.Time {
	signalledAt := make(chan time.Time, 1)
	go func() {
		<-signals
		signalledAt <- time.Now()
	}()
	return signalledAt
}
