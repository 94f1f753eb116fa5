package capacity

import "time"

// The size that the fleet is designed for. Texts in roles.go and page.go repeat these numbers.
const (
	routers            = 330.0
	endpoints          = 640.0
	requestsPerSec     = 2_000.0
	tokensPerSec       = 870_000.0
	tokenIntervalMs    = 42.0
	chats              = 2_400_000.0
	models             = 23.0
	changesPerDay      = 1_700.0
	failuresPerDay     = 12.0
	restartsPerDay     = 390.0
	secondsPerDay      = float64(24 * time.Hour / time.Second)
	kindsPerModel      = 3.0
	ledgerShards       = 8.0
	nonIdempotentShare = 0.1 // share of the requests
	ledgerWindowSec    = 600.0
	// pushShare is the share of the changes that push a whole configuration.
	pushShare = 0.1
	// pollsPerSecond is how often an owner computes the endpoints that it polls.
	pollsPerSecond          = 4.0
	replicaRecordsPerSecond = 2.0 / 30 // records of counters to two replicas
)

// Budgets of a router for control.
const (
	budgetBytes  = 8_000.0      // per second
	budgetCPU    = 20_000.0     // microseconds per second: 2 % of a core
	budgetMemory = 32 * 1 << 20 // bytes
)
