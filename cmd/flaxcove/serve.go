package main

// This file owns `flaxcove serve`: the order in which one sender's process sets its limits, catches its signals,
// starts, joins a cluster where asked, and reads its configuration anew on SIGHUP. It must never decide anything about
// a message, and the order of its steps is part of its behaviour: SIGHUP is caught before all else.

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

// heapShare is the part of the memory limit that the heap may take; stacks, sockets and the program itself need the rest.
const heapShare = 0.6

// How many threads run Go code: a sender is one loop on one thread; with a cluster, the cluster's part has another.
const (
	threadsAlone       = 1
	threadsWithCluster = 2
)

func serveCommand() *cli.Command {
	return &cli.Command{Name: "serve", Usage: "run one sender, as EDGE_CONFIG and the other EDGE_ variables say", Action: serve, Flags: []cli.Flag{
		&cli.BoolFlag{Name: "notes", Usage: "tell other senders of limits met and hear them, where the configuration allows it"},
		&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the whole run to this file"},
		&cli.StringFlag{Name: "cluster", Usage: "join the processes around this one, as this file says"},
		&cli.BoolFlag{Name: "trace", Usage: "log each step of each notice too, by its id, and the settings once"}}}
}

// serve runs one sender until it has drained.
func serve(_ context.Context, c *cli.Command) error {
	// Before all else: SIGHUP asks for the file to be read anew, and must never end the process.
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
			log.Warn("notes stay off", zap.Error(err))
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

// serveConfig reads the configuration and, for a sender that joins a cluster, its cluster settings; it also sets how
// many threads run Go code, which depends on whether a cluster is joined.
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

// catchStopSignals ignores SIGPIPE and says when the first SIGTERM or SIGINT came.
func catchStopSignals() <-chan time.Time {
	// A log that nobody reads any more must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return firstSignalTime(signals)
}

// startProfile writes a CPU profile of the whole run to the file, where one is named; what it returns ends the
// profile and closes the file.
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

// runSender starts the sender, joins it to the cluster where settings for one are given, drains it from the first
// stop signal on, reads the configuration anew on each SIGHUP, and serves until the sender has drained.
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
	log.Debug("configuration", zap.Any("settings", cfg.Settings), zap.Any("limits", cfg.Limits), zap.Any("known", cfg.Known))
	log.Info("serving", zap.String("name", cfg.Name), zap.String("listen", s.Addr()), zap.String("version", version),
		zap.Uint64("configuration_version", cfg.Version))
	s.Run()
	return nil
}

// reloadOnHangup reads the configuration anew on each SIGHUP and hands it, or what is wrong with it, to the sender.
func reloadOnHangup(s *sender.Sender, hangups <-chan os.Signal, notes bool) {
	for range hangups {
		fresh, err := config.Reload(os.Getenv)
		if notes && err == nil {
			_ = fresh.EnableGossip() // why not was logged at the start
		}
		s.Reload(fresh, err)
	}
}

// firstSignalTime says when the first signal came. The kill counts from then, and the start may take a while yet.
func firstSignalTime(signals <-chan os.Signal) <-chan time.Time {
	signalledAt := make(chan time.Time, 1)
	go func() {
		<-signals
		signalledAt <- time.Now()
	}()
	return signalledAt
}
