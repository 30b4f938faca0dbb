// Command standin runs one stand-in of the platform or of a backend server.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/standin/engine"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/logservice"
	"github.com/laburnumloft/laburnumloft/standin/memberlist"
	"github.com/laburnumloft/laburnumloft/standin/plainservice"
	"github.com/laburnumloft/laburnumloft/standin/weightstore"
)

// readHeaderTimeout bounds how long a client may take for its headers.
const readHeaderTimeout = 5 * time.Second

type config struct {
	Listen      string        `long:"listen" required:"true" description:"IP:PORT"`
	TokenTime   time.Duration `long:"token-time" default:"5ms" description:"engine: time between two tokens"`
	Capacity    float64       `long:"capacity" description:"engine: tokens per second of all requests together; 0 for no bound"`
	MaxBatch    int           `long:"max-batch" default:"256" description:"engine: requests that run at once"`
	CacheBlocks int           `long:"cache-blocks" default:"4096" description:"engine: prefix cache in blocks of 64 bytes"`
	LoadLag     time.Duration `long:"load-lag" description:"engine: age of the reported load"`
	ChecksFence bool          `long:"checks-fence" description:"engine: refuse orders with an old fencing number"`
	Retention   time.Duration `long:"retention" description:"log: time for which records are kept; 0 for ever"`
	MaxRecords  int           `long:"max-records" description:"log: number of records that a stream keeps; 0 for all"`
	AppendRate  float64       `long:"append-rate" description:"log: appends per second; 0 for no limit"`
	Args        struct {
		Role string `positional-arg-name:"role" required:"true" choice:"log" choice:"weights" choice:"members" choice:"engine" choice:"plain"`
	} `positional-args:"true"`
}

func main() {
	var cfg config
	if _, err := flags.Parse(&cfg); err != nil {
		os.Exit(2)
	}
	server := &http.Server{Addr: cfg.Listen, Handler: new(faults.Injector).Wrap(handler(cfg)), ReadHeaderTimeout: readHeaderTimeout}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}

func handler(cfg config) http.Handler {
	switch cfg.Args.Role {
	case "log":
		return logservice.New(logservice.Control{
			RetentionMS: cfg.Retention.Milliseconds(), MaxRecords: cfg.MaxRecords, AppendsPerSecond: cfg.AppendRate,
		}).Handler()
	case "weights":
		return weightstore.New().Handler()
	case "members":
		return memberlist.New().Handler()
	case "engine":
		return engine.New(engine.Config{
			TokenTime: cfg.TokenTime, Capacity: cfg.Capacity, MaxBatch: cfg.MaxBatch, CacheBlocks: cfg.CacheBlocks,
			LoadLag: cfg.LoadLag, ChecksFence: cfg.ChecksFence,
		}).Handler()
	default:
		return plainservice.New().Handler()
	}
}
