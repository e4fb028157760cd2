//! A circuit breaker with one circuit for each backend server.

use std::time;

use crate::breaker;
use crate::replica;

/// Maximum number of failed probes that double the pause.
const MAX_DOUBLINGS: u32 = 16;

/// Takes backend servers out of service after consecutive transport errors.
///
/// After a pause, one request at a time probes the server; the first success closes the circuit. The
/// breaker never removes more than half of a request's candidates.
#[derive(Debug)]
pub struct CircuitBreaker {
    settings: breaker::BreakerSettings,
    circuits: slotmap::SecondaryMap<replica::ServerKey, ServerCircuit>,
}

#[derive(Debug, Default)]
struct ServerCircuit {
    errors: u32,
    failed_probes: u32,
    state: CircuitState,
}

#[derive(Debug, Default, Clone, Copy)]
enum CircuitState {
    #[default]
    Closed,
    Open {
        until: time::Instant,
    },
    /// A probe was sent; another one may be sent if its result is not known in time.
    Probing {
        until: time::Instant,
    },
}

impl CircuitBreaker {
    /// Returns a breaker whose circuits are all closed.
    #[must_use]
    pub fn new(settings: breaker::BreakerSettings) -> Self {
        Self {
            settings,
            circuits: slotmap::SecondaryMap::new(),
        }
    }

    /// Returns whether a server may get a request, either since its circuit is closed or as a probe.
    #[must_use]
    pub fn allows(&self, key: replica::ServerKey, now: time::Instant) -> bool {
        match self.circuit_state(key) {
            CircuitState::Closed => true,
            CircuitState::Open { until } | CircuitState::Probing { until } => until <= now,
        }
    }

    /// Removes candidates whose circuit is open, but never more than half of all candidates.
    ///
    /// If too many circuits are open, the servers with the fewest errors are kept.
    pub fn admit(&self, candidates: &mut Vec<replica::ReplicaCandidate>, now: time::Instant) {
        let min_kept = candidates.len().div_ceil(2);
        candidates.sort_by_key(|candidate| {
            let allowed = self.allows(candidate.server, now);
            let errors = self.circuits.get(candidate.server);
            (!allowed, errors.map_or(0, |circuit| circuit.errors))
        });
        let allowed = candidates
            .iter()
            .take_while(|candidate| self.allows(candidate.server, now))
            .count();
        candidates.truncate(allowed.max(min_kept));
    }

    /// Records that a request is sent to a server; if a probe is due, the request is the probe.
    pub fn begin(&mut self, key: replica::ServerKey, now: time::Instant) {
        let pause = self.settings.max_pause;
        if let Some(circuit) = self.circuits.get_mut(key)
            && !matches!(circuit.state, CircuitState::Closed)
        {
            let until = now + pause;
            circuit.state = CircuitState::Probing { until };
        }
    }

    /// Records that a server answered, which closes its circuit.
    pub fn succeed(&mut self, key: replica::ServerKey) {
        self.circuits.remove(key);
    }

    /// Records a transport error; returns whether it opened a closed circuit.
    pub fn fail(&mut self, key: replica::ServerKey, now: time::Instant) -> bool {
        let settings = &self.settings;
        let Some(circuit) = self
            .circuits
            .entry(key)
            .map(slotmap::secondary::Entry::or_default)
        else {
            return false;
        };
        circuit.errors = circuit.errors.saturating_add(1);
        match circuit.state {
            CircuitState::Closed if circuit.errors < settings.error_threshold => false,
            CircuitState::Closed => {
                circuit.open(settings, now);
                true
            }
            CircuitState::Probing { .. } => {
                circuit.failed_probes += 1;
                circuit.open(settings, now);
                false
            }
            CircuitState::Open { .. } => false,
        }
    }

    /// Drops the circuit of a server's incarnation.
    pub fn forget(&mut self, key: replica::ServerKey) {
        self.circuits.remove(key);
    }

    fn circuit_state(&self, key: replica::ServerKey) -> CircuitState {
        let circuit = self.circuits.get(key);
        circuit.map_or(CircuitState::Closed, |circuit| circuit.state)
    }
}

impl ServerCircuit {
    fn open(&mut self, settings: &breaker::BreakerSettings, now: time::Instant) {
        let factor = 1 << self.failed_probes.min(MAX_DOUBLINGS);
        let pause = settings.initial_pause.saturating_mul(factor);
        let until = now + pause.min(settings.max_pause);
        self.state = CircuitState::Open { until };
    }
}
