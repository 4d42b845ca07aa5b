package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/port"
)

// Timings of the stored quarantines.
const (
	// quarantineCheckInterval is the interval at which changed quarantines are stored.
	quarantineCheckInterval = time.Second
	// quarantineCallTimeout limits a call of the store.
	quarantineCallTimeout = 2 * time.Second
	// maxRestoreAttempts is the number of times that an instance which starts tries to read the stored quarantines.
	maxRestoreAttempts = 10
)

// QuarantineStore configures RunQuarantines.
type QuarantineStore struct {
	Log port.KeyedLog
	// Restore is set if quarantines may have been stored before this instance started.
	Restore bool
	// IsWriter reports whether this instance stores the quarantines of the fleet.
	IsWriter func() bool
	// Era returns the era of the store, as far as it is known. Nil means that it never changes.
	Era func() uint64
}

func (o QuarantineStore) era() uint64 {
	if o.Era == nil {
		return 0
	}
	return o.Era()
}

// storedQuarantine is a record of a quarantine. Its key is the attribute.
type storedQuarantine struct {
	Part    bool `json:"part"`
	Crashes int  `json:"crashes"`
	// LastCrash and Until are Unix milliseconds.
	LastCrash int64 `json:"last_crash_ms"`
	Until     int64 `json:"until_ms"`
}

// RunQuarantines restores the quarantines that were stored before all instances ended, and stores those of the fleet.
func (g *Gateway) RunQuarantines(ctx context.Context, o QuarantineStore) error {
	stored, era := make(map[quarantine.Attribute]storedQuarantine), o.era()
	for attempt := 0; o.Restore && attempt < maxRestoreAttempts && ctx.Err() == nil; attempt++ {
		if read, ok := g.readQuarantines(ctx, o.Log); ok {
			stored = read
			g.adoptQuarantines(stored)
			break
		}
		sleep(ctx, quarantineCheckInterval)
	}
	for ctx.Err() == nil {
		sleep(ctx, quarantineCheckInterval)
		if !o.IsWriter() {
			continue
		}
		if current := o.era(); current != era {
			// The store may lack quarantines, and have others that have ended.
			read, ok := g.readQuarantines(ctx, o.Log)
			if !ok {
				continue
			}
			stored, era = read, current
		}
		g.storeQuarantines(ctx, o.Log, stored)
	}
	return ctx.Err()
}

// readQuarantines reads the stored quarantines. ok is false if that failed.
func (g *Gateway) readQuarantines(ctx context.Context, log port.KeyedLog) (stored map[quarantine.Attribute]storedQuarantine, ok bool) {
	call, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	records, _, err := log.Newest(call, port.TopicQuarantines)
	if err != nil {
		g.log.Info("cannot read stored quarantines", zap.Error(err))
		return nil, false
	}
	stored = make(map[quarantine.Attribute]storedQuarantine)
	for _, record := range records {
		n, err := strconv.ParseUint(record.Key, 16, 64)
		var s storedQuarantine
		if err != nil || record.Value == nil || json.Unmarshal(record.Value, &s) != nil {
			continue
		}
		stored[quarantine.Attribute(n)] = s
	}
	return stored, true
}

// adoptQuarantines puts stored quarantines into force.
func (g *Gateway) adoptQuarantines(stored map[quarantine.Attribute]storedQuarantine) {
	for attribute, s := range stored {
		g.crashes.adopt(quarantine.Quarantine{Attribute: attribute, Part: s.Part, Crashes: s.Crashes, LastCrash: g.crashes.sinceBoot(s.LastCrash), Until: g.crashes.sinceBoot(s.Until)})
	}
}

// storeQuarantines stores the quarantines that have changed, and deletes those that have ended.
func (g *Gateway) storeQuarantines(ctx context.Context, log port.KeyedLog, stored map[quarantine.Attribute]storedQuarantine) {
	current := make(map[quarantine.Attribute]bool)
	for _, q := range g.crashes.list() {
		current[q.Attribute] = true
		if s, known := stored[q.Attribute]; known && s.Crashes == q.Crashes {
			continue
		}
		s := storedQuarantine{Part: q.Part, Crashes: q.Crashes, LastCrash: g.crashes.unixMilli(q.LastCrash), Until: g.crashes.unixMilli(q.Until)}
		value, err := json.Marshal(s)
		if err == nil && g.putQuarantine(ctx, log, q.Attribute, value) {
			stored[q.Attribute] = s
		}
	}
	for attribute := range stored {
		if !current[attribute] && g.putQuarantine(ctx, log, attribute, nil) {
			delete(stored, attribute)
		}
	}
}

func (g *Gateway) putQuarantine(ctx context.Context, log port.KeyedLog, attribute quarantine.Attribute, value []byte) bool {
	call, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	if err := log.Put(call, port.TopicQuarantines, attribute.String(), value); err != nil {
		g.log.Info("cannot store quarantine", zap.Stringer("attribute", attribute), zap.Error(err))
		return false
	}
	return true
}

// sinceBoot converts a stored time to the time of the tracker, and unixMilli the other way round.
func (t *crashTracker) sinceBoot(unixMilli int64) time.Time {
	return asTime(t.now()).Add(time.Until(time.UnixMilli(unixMilli)))
}

func (t *crashTracker) unixMilli(at time.Time) int64 {
	return time.Now().Add(at.Sub(asTime(t.now()))).UnixMilli()
}

// list returns the quarantines.
func (t *crashTracker) list() []quarantine.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantine.Quarantines(asTime(t.now()))
}

// adopt records a quarantine that was stored.
func (t *crashTracker) adopt(q quarantine.Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.quarantine.Adopt(asTime(t.now()), q) {
		t.logQuarantines([]quarantine.Quarantine{q})
	}
	t.updateFlags()
}

// LiftQuarantine ends the quarantine of an attribute, as it appears in logs, and acquits it of all crashes so far. The
// other instances are told. It reports false if there is no such attribute.
func (g *Gateway) LiftQuarantine(attribute string) bool {
	n, err := strconv.ParseUint(attribute, 16, 64)
	if err != nil {
		return false
	}
	t := g.crashes
	t.mu.Lock()
	ended := t.quarantine.RecordAnswer(asTime(t.now()), quarantine.Attribute(n), true)
	t.updateFlags()
	t.mu.Unlock()
	g.log.Info("quarantine lifted by an operator", zap.String("attribute", attribute), zap.Bool("was_in_force", len(ended) > 0))
	g.announceCrash()
	return true
}
