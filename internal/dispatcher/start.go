package dispatcher

import (
	"context"
	"time"
)

const (
	// maxConfigurationWait is how long a session that starts waits for the first configuration.
	// Callers close a session whose start takes more than 2 s; the rest is left for the network
	// and for an instance whose processor is busy with its own start.
	maxConfigurationWait = time.Second
	// startLogInterval is the minimum time between two log lines on sessions that waited.
	startLogInterval = 100 * time.Millisecond
)

// startWait returns how long a session waits for the first configuration, given the time since it
// was accepted. It handles the load after a restart of all instances: callers connect again within
// 0.4 s, before any instance knows the configuration.
func startWait(sinceAccepted time.Duration, shuttingDown bool) time.Duration {
	if shuttingDown {
		return 0
	}
	return max(0, maxConfigurationWait-sinceAccepted)
}

// awaitConfiguration waits until a configuration is known, for at most maxConfigurationWait.
func (s *session) awaitConfiguration(ctx context.Context) {
	v := s.server
	if v.ConfigurationKnown == nil {
		return
	}
	select {
	case <-v.ConfigurationKnown:
		return
	default:
	}
	wait := startWait(time.Since(s.accepted), v.closesIdle())
	if wait == 0 {
		return
	}
	v.count(CountAwaited)
	v.awaiting.Add(1)
	begin := time.Now()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-v.ConfigurationKnown:
	case <-t.C:
	case <-ctx.Done():
	}
	waiting := v.awaiting.Add(-1)
	// The start message may have used up most of the deadline for the reply.
	_ = s.net.SetDeadline(time.Now().Add(startTimeout))
	if v.mayLogStart(time.Now()) {
		v.logDecision("session", "outcome", "awaited-configuration", "known", v.Configuration() != nil, "database", s.database,
			"waited-ms", time.Since(begin).Milliseconds(), "waiting", waiting)
	}
}

// mayLogStart limits the rate of log lines on sessions that waited.
func (s *Server) mayLogStart(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.startLoggedAt) < startLogInterval {
		return false
	}
	s.startLoggedAt = now
	return true
}
