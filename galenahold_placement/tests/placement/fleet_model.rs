//! Simulation of the engine's environment, without threads or sockets.

use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name, placement, server};
use galenahold_placement::{demand, engine};

const ENTRY: &str = "entry-1";

/// Backend server that executes each order at once.
pub(crate) struct FakeServer {
    pub(crate) incarnation: u64,
    pub(crate) capacity: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) leaving: bool,
    pub(crate) loaded: collections::BTreeMap<placement::ReplicaArtifact, LoadedOrder>,
    highest_fence: amount::FencingNumber,
    sequence: u64,
}

pub(crate) struct LoadedOrder {
    pub(crate) order: u64,
    pub(crate) bytes: u64,
}

/// Order that was not sent yet, or whose answer is pending.
pub(crate) struct FakeOrder {
    pub(crate) reservation: placement::MemoryReservation,
    pub(crate) unload: bool,
}

/// Placement engine with a simulated replicated state, backend servers and the orders between them.
pub(crate) struct FleetModel {
    pub(crate) now: time::Instant,
    pub(crate) engine: engine::PlacementEngine,
    pub(crate) log: collections::BTreeMap<placement::ReservationId, placement::MemoryReservation>,
    pub(crate) servers: collections::BTreeMap<name::ServerName, FakeServer>,
    pub(crate) orders: Vec<FakeOrder>,
    /// Orders that earlier leaders were about to send when they froze.
    pub(crate) frozen: Vec<FakeOrder>,
    pub(crate) alarms: u32,
    pub(crate) reserves: u32,
    pub(crate) violations: Vec<String>,
    /// Whether reserves stay unanswered.
    pub(crate) hold_reserves: bool,
    intent: intent::FleetIntent,
    term: u64,
    index: u64,
    waiting: collections::BTreeMap<placement::ReplicaArtifact, u32>,
}

pub(crate) fn model(name: &str, bytes: u64, adapters: &[&str]) -> intent::ModelIntent {
    intent::ModelIntent {
        name: name::ModelName::from(name),
        version: name::VersionName::from("1"),
        bytes: amount::ByteCount(bytes),
        min_replicas: 0,
        max_replicas: 1,
        max_request_tokens: amount::TokenCount(1_000),
        replica_concurrency: 16,
        adapters: adapters
            .iter()
            .map(|adapter| intent::AdapterIntent {
                name: name::AdapterName::from(*adapter),
                bytes: amount::ByteCount(1),
            })
            .collect(),
    }
}

pub(crate) fn artifact(model: &str) -> placement::ReplicaArtifact {
    placement::ReplicaArtifact {
        model: name::ModelName::from(model),
        version: name::VersionName::from("1"),
        adapter: None,
    }
}

pub(crate) fn adapter(model: &str, adapter: &str) -> placement::ReplicaArtifact {
    let mut artifact = artifact(model);
    artifact.adapter = Some(name::AdapterName::from(adapter));
    artifact
}

fn leader_name(term: u64) -> name::InstanceName {
    name::InstanceName::from(format!("control-{term}"))
}

fn new_engine(term: u64, wait: time::Duration, now: time::Instant) -> engine::PlacementEngine {
    let settings = engine::EngineSettings::new(leader_name(term), amount::IncarnationNumber(1))
        .with_takeover_wait(wait);
    engine::PlacementEngine::new(settings, engine::PlacementPolicies::default(), now)
}

impl FleetModel {
    pub(crate) fn new(models: Vec<intent::ModelIntent>) -> Self {
        let now = time::Instant::now();
        let intent = intent::FleetIntent {
            models,
            ..intent::FleetIntent::default()
        };
        let mut fleet = Self {
            now,
            engine: new_engine(1, time::Duration::ZERO, now),
            log: collections::BTreeMap::new(),
            servers: collections::BTreeMap::new(),
            orders: Vec::new(),
            frozen: Vec::new(),
            alarms: 0,
            reserves: 0,
            violations: Vec::new(),
            hold_reserves: false,
            intent: intent.clone(),
            term: 1,
            index: 0,
            waiting: collections::BTreeMap::new(),
        };
        fleet.step(engine::PlacementEvent::IntentChanged(intent));
        fleet
    }

    pub(crate) fn with_server(mut self, name: &str, capacity: u64, checks_fencing: bool) -> Self {
        let server = FakeServer {
            incarnation: 1,
            capacity,
            checks_fencing,
            leaving: false,
            loaded: collections::BTreeMap::new(),
            highest_fence: amount::FencingNumber::default(),
            sequence: 0,
        };
        self.servers.insert(name::ServerName::from(name), server);
        self.announce(name);
        self
    }

    pub(crate) fn set_intent(&mut self, models: Vec<intent::ModelIntent>) {
        self.intent.models = models;
        let intent = self.intent.clone();
        self.step(engine::PlacementEvent::IntentChanged(intent));
    }

    /// Passes an event to the engine and commits the effects that it requests.
    pub(crate) fn step(&mut self, event: engine::PlacementEvent) {
        let mut effects = collections::VecDeque::from(self.engine.step(event, self.now));
        while let Some(effect) = effects.pop_front() {
            if let Some(event) = self.apply_effect(effect) {
                effects.extend(self.engine.step(event, self.now));
            }
        }
        self.check();
    }

    pub(crate) fn announce(&mut self, name: &str) {
        let name = name::ServerName::from(name);
        let Some(server) = self.servers.get_mut(&name) else {
            return;
        };
        server.sequence += 1;
        let announcement = server::ServerAnnouncement {
            name,
            incarnation: amount::IncarnationNumber(server.incarnation),
            sequence: server.sequence,
            address: "127.0.0.1:9".parse().expect("the address is valid"),
            data_centre: name::DataCentreName::from("pwani-a"),
            kind: server::ServerKind::Engine,
            checks_fencing: server.checks_fencing,
            memory_bytes: amount::ByteCount(server.capacity),
            loaded: server.loaded.iter().map(show_loaded).collect(),
            cached: Vec::new(),
            load: server::ServerLoad::default(),
            leaving: server.leaving,
            service: None,
        };
        let age = time::Duration::ZERO;
        self.step(engine::PlacementEvent::ServerAnnounced { announcement, age });
    }

    pub(crate) fn report_waiting(&mut self, artifact: &placement::ReplicaArtifact, waiting: u32) {
        let before = self.waiting.insert(artifact.clone(), waiting);
        let arrivals = waiting.saturating_sub(before.unwrap_or(0));
        self.report(
            vec![demand::ArtifactDemand {
                artifact: artifact.clone(),
                waiting,
                oldest_wait: time::Duration::ZERO,
                arrivals,
                teams: vec![demand::TeamDemand {
                    team: name::TeamName::from("blue"),
                    waiting,
                }],
            }],
            Vec::new(),
        );
    }

    pub(crate) fn report_work(
        &mut self,
        server: &str,
        artifact: &placement::ReplicaArtifact,
        in_flight: u32,
    ) {
        let work = demand::ReplicaWork {
            server: name::ServerName::from(server),
            artifact: artifact.clone(),
            in_flight,
        };
        self.report(Vec::new(), vec![work]);
    }

    pub(crate) fn report(
        &mut self,
        demands: Vec<demand::ArtifactDemand>,
        work: Vec<demand::ReplicaWork>,
    ) {
        self.step(engine::PlacementEvent::DemandReported(
            demand::DemandReport {
                instance: name::InstanceName::from(ENTRY),
                incarnation: amount::IncarnationNumber(1),
                demands,
                work,
            },
        ));
    }

    /// Delivers an order, and its answer unless `lose_answer` is set.
    pub(crate) fn deliver(&mut self, nth: usize, lose_answer: bool) {
        if nth >= self.orders.len() {
            return;
        }
        let order = self.orders.remove(nth);
        let outcome = self.execute(&order);
        let outcome = if lose_answer {
            engine::OrderOutcome::Unknown
        } else {
            outcome
        };
        self.end_order(&order, outcome);
    }

    /// Loses an order on its way; the sender does not learn whether it was executed.
    pub(crate) fn lose_order(&mut self, nth: usize) {
        if nth < self.orders.len() {
            let order = self.orders.remove(nth);
            self.end_order(&order, engine::OrderOutcome::Unknown);
        }
    }

    /// Sends an order that an earlier leader was about to send when it froze.
    pub(crate) fn send_frozen_order(&mut self) {
        if let Some(order) = self.frozen.pop() {
            self.execute(&order);
            self.check();
        }
    }

    pub(crate) fn restart_server(&mut self, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.incarnation += 1;
            server.sequence = 0;
            server.loaded.clear();
            server.leaving = false;
        }
        self.announce(name);
    }

    /// Freezes the leader with its orders unsent, and starts a new leader.
    pub(crate) fn change_leader(&mut self, wait: time::Duration) {
        self.frozen.append(&mut self.orders);
        self.term += 1;
        self.engine = new_engine(self.term, wait, self.now);
        let intent = self.intent.clone();
        self.step(engine::PlacementEvent::IntentChanged(intent));
        for reservation in self.log.values().cloned().collect::<Vec<_>>() {
            self.step(engine::PlacementEvent::ReservationChanged(reservation));
        }
    }

    /// Ends all earlier leaders and drops their unsent orders.
    pub(crate) fn end_earlier_leaders(&mut self) {
        self.frozen.clear();
        for term in 1..self.term {
            self.step(engine::PlacementEvent::SenderEnded {
                instance: leader_name(term),
                before: amount::IncarnationNumber(2),
            });
        }
    }

    /// Advances time in steps, with regular announcements, reports and answers.
    pub(crate) fn run(&mut self, duration: time::Duration) {
        let until = self.now + duration;
        let names: Vec<_> = self.servers.keys().cloned().collect();
        while self.now < until {
            self.now += time::Duration::from_millis(250);
            for name in &names {
                self.announce(name);
            }
            self.report(Vec::new(), Vec::new());
            self.step(engine::PlacementEvent::Tick);
            while !self.orders.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    pub(crate) fn loaded_on(&self, artifact: &placement::ReplicaArtifact) -> Vec<&str> {
        let holds = |server: &FakeServer| server.loaded.contains_key(artifact);
        let servers = self.servers.iter().filter(|(_, server)| holds(server));
        servers.map(|(name, _)| name.as_str()).collect()
    }

    fn end_order(&mut self, order: &FakeOrder, outcome: engine::OrderOutcome) {
        self.step(engine::PlacementEvent::OrderEnded {
            id: order.reservation.id,
            fence: order.reservation.fence,
            outcome,
        });
    }

    fn execute(&mut self, order: &FakeOrder) -> engine::OrderOutcome {
        let reservation = &order.reservation;
        let Some(server) = self.servers.get_mut(&reservation.server) else {
            return engine::OrderOutcome::Unknown;
        };
        if server.incarnation != reservation.incarnation.0 {
            return engine::OrderOutcome::Unknown;
        }
        if server.checks_fencing && reservation.fence < server.highest_fence {
            return engine::OrderOutcome::Refused;
        }
        server.highest_fence = reservation.fence.max(server.highest_fence);
        if order.unload {
            server.loaded.remove(&reservation.artifact);
            return engine::OrderOutcome::Unloaded;
        }
        let loaded = LoadedOrder {
            order: reservation.id.0,
            bytes: reservation.bytes.0,
        };
        server.loaded.insert(reservation.artifact.clone(), loaded);
        engine::OrderOutcome::Loaded
    }

    fn apply_effect(&mut self, effect: engine::PlacementEffect) -> Option<engine::PlacementEvent> {
        match effect {
            engine::PlacementEffect::Reserve { .. } if self.hold_reserves => {
                self.reserves += 1;
                None
            }
            engine::PlacementEffect::Reserve {
                server,
                incarnation,
                artifact,
                bytes,
                ..
            } => Some(self.reserve(server, incarnation, artifact, bytes)),
            engine::PlacementEffect::Adopt {
                server,
                incarnation,
                artifact,
                bytes,
                alarm,
            } => {
                self.alarms += u32::from(alarm);
                let state = placement::ReservationState::Loaded;
                Some(self.insert(server, incarnation, artifact, bytes, state))
            }
            engine::PlacementEffect::TakeOver { id, state } => self.advance(id, state),
            engine::PlacementEffect::MarkLoaded { id } => {
                self.advance(id, placement::ReservationState::Loaded)
            }
            engine::PlacementEffect::Drain { id } => {
                self.advance(id, placement::ReservationState::Draining)
            }
            engine::PlacementEffect::Unload { id } => {
                self.advance(id, placement::ReservationState::Unloading)
            }
            engine::PlacementEffect::SendLoad { reservation } => self.send(reservation, false),
            engine::PlacementEffect::SendUnload { reservation } => self.send(reservation, true),
            engine::PlacementEffect::Release { id } => {
                self.log.remove(&id);
                Some(engine::PlacementEvent::ReservationReleased { id })
            }
            engine::PlacementEffect::Retire {
                server,
                incarnation,
            } => {
                self.log.retain(|_, reservation| {
                    reservation.server != server || reservation.incarnation >= incarnation
                });
                Some(engine::PlacementEvent::ServerRetired {
                    server,
                    incarnation,
                })
            }
        }
    }

    fn send(
        &mut self,
        reservation: placement::MemoryReservation,
        unload: bool,
    ) -> Option<engine::PlacementEvent> {
        if self.log.get(&reservation.id) != Some(&reservation) {
            self.violations
                .push("order sent before its commit".to_owned());
        }
        let mut open = self.orders.iter().map(|order| &order.reservation);
        let (server, incarnation) = (&reservation.server, reservation.incarnation);
        if open.any(|open| open.server == *server && open.incarnation == incarnation) {
            self.violations
                .push("two orders in flight to one server".to_owned());
        }
        self.orders.push(FakeOrder {
            reservation,
            unload,
        });
        None
    }

    fn reserve(
        &mut self,
        server: name::ServerName,
        incarnation: amount::IncarnationNumber,
        artifact: placement::ReplicaArtifact,
        bytes: amount::ByteCount,
    ) -> engine::PlacementEvent {
        self.reserves += 1;
        let reserved = self.reserved_at(&server, incarnation);
        let capacity = self
            .servers
            .get(&server)
            .map_or(0, |server| server.capacity);
        if reserved + bytes.0 > capacity {
            self.violations
                .push("reserve overcommits the memory".to_owned());
            return engine::PlacementEvent::ReserveRefused { server, artifact };
        }
        let state = placement::ReservationState::Ordered;
        self.insert(server, incarnation, artifact, bytes, state)
    }

    fn insert(
        &mut self,
        server: name::ServerName,
        incarnation: amount::IncarnationNumber,
        artifact: placement::ReplicaArtifact,
        bytes: amount::ByteCount,
        state: placement::ReservationState,
    ) -> engine::PlacementEvent {
        self.index += 1;
        let reservation = placement::MemoryReservation {
            id: placement::ReservationId(self.index),
            server,
            incarnation,
            artifact,
            bytes,
            state,
            fence: self.fence(),
            sender: leader_name(self.term),
            sender_incarnation: amount::IncarnationNumber(1),
        };
        self.log.insert(reservation.id, reservation.clone());
        engine::PlacementEvent::ReservationChanged(reservation)
    }

    fn advance(
        &mut self,
        id: placement::ReservationId,
        state: placement::ReservationState,
    ) -> Option<engine::PlacementEvent> {
        self.index += 1;
        let fence = self.fence();
        let sender = leader_name(self.term);
        let reservation = self.log.get_mut(&id)?;
        reservation.state = state;
        reservation.fence = fence;
        reservation.sender = sender;
        Some(engine::PlacementEvent::ReservationChanged(
            reservation.clone(),
        ))
    }

    fn fence(&self) -> amount::FencingNumber {
        amount::FencingNumber {
            term: self.term,
            index: self.index,
        }
    }

    fn reserved_at(&self, server: &str, incarnation: amount::IncarnationNumber) -> u64 {
        let reservations = self.log.values().filter(|reservation| {
            reservation.server.as_str() == server && reservation.incarnation == incarnation
        });
        reservations.map(|reservation| reservation.bytes.0).sum()
    }

    /// Records violations: a replica without a reservation, or more replicas than fit in memory.
    fn check(&mut self) {
        for (name, server) in &self.servers {
            let used: u64 = server.loaded.values().map(|loaded| loaded.bytes).sum();
            if used > server.capacity {
                self.violations
                    .push(format!("{name} holds {used} bytes, more than its capacity"));
            }
            for artifact in server.loaded.keys() {
                let decided = self.log.values().any(|reservation| {
                    reservation.server == *name
                        && reservation.incarnation.0 == server.incarnation
                        && reservation.artifact == *artifact
                });
                if !decided {
                    self.violations
                        .push(format!("{name} holds {artifact:?} without a reservation"));
                }
            }
        }
    }
}

fn show_loaded(
    (artifact, loaded): (&placement::ReplicaArtifact, &LoadedOrder),
) -> server::LoadedReplica {
    server::LoadedReplica {
        model: artifact.model.clone(),
        version: artifact.version.clone(),
        adapter: artifact.adapter.clone(),
        bytes: amount::ByteCount(loaded.bytes),
        order: loaded.order,
        state: server::ReplicaState::Ready,
    }
}
