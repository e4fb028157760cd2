//! Enforces the rules for reservations of accelerator memory.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::intent;
use crate::name;
use crate::placement;

type ReservationIds = collections::BTreeSet<placement::ReservationId>;

/// All reservations of accelerator memory, kept within the servers' memory and the intent.
///
/// - The bytes of all reservations on a backend server, in every state and of every incarnation
///   that is not retired, stay within its memory. Adopted replicas count but are never refused for
///   lack of memory.
/// - At most one order for a model is unresolved at a backend server. Several orders for adapters
///   may be unresolved at once, each with its own number.
/// - An artifact has at most one reservation at an incarnation of a backend server.
/// - A model gets no further reservation while it has as many, in all states together, as the
///   intent in force allows. Lowering that number does not invalidate existing reservations.
/// - An adapter is reserved only on a backend server that has its model loaded.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "TableDocument")]
pub struct ReservationTable {
    reservations: collections::BTreeMap<placement::ReservationId, placement::MemoryReservation>,
    incarnations: amount::IncarnationFloors<name::ServerName>,
    #[serde(skip)]
    servers: collections::BTreeMap<name::ServerName, ReservationIds>,
    #[serde(skip)]
    models: collections::BTreeMap<name::ModelName, ReservationIds>,
}

/// The stored fields of the table, from which its indexes are rebuilt.
#[derive(Deserialize)]
struct TableDocument {
    reservations: collections::BTreeMap<placement::ReservationId, placement::MemoryReservation>,
    incarnations: amount::IncarnationFloors<name::ServerName>,
}

impl From<TableDocument> for ReservationTable {
    fn from(document: TableDocument) -> Self {
        let mut table = Self {
            incarnations: document.incarnations,
            ..Self::default()
        };
        for reservation in document.reservations.into_values() {
            table.insert(reservation);
        }
        table
    }
}

impl ReservationTable {
    /// Reserves memory for a replica in the intent, before its load order is sent.
    ///
    /// # Errors
    ///
    /// Fails with the rule that the reservation would break.
    pub fn reserve(
        &mut self,
        fence: amount::FencingNumber,
        request: &placement::ReplicaRequest,
        capacity: amount::ByteCount,
        intent: &intent::FleetIntent,
    ) -> Result<placement::MemoryReservation, placement::ReservationRefusal> {
        self.check_incarnation(request)?;
        check_intent(request, intent)?;
        self.check_duplicate(request)?;
        match &request.artifact.adapter {
            Some(_) => self.check_base(request)?,
            None => self.check_model(request, intent)?,
        }
        self.check_memory(request, capacity)?;
        let reservation = request.reservation(fence, placement::ReservationState::Ordered);
        self.raise_incarnation(&request.server, request.incarnation);
        self.insert(reservation.clone());
        Ok(reservation)
    }

    /// Moves a reservation to a state, and records the fencing number and the sender of the order
    /// for this transition.
    ///
    /// # Errors
    ///
    /// Fails if the reservation does not exist, if the transition is not allowed, and if unloading
    /// a model would be a second unresolved order at the backend server.
    pub fn advance(
        &mut self,
        fence: amount::FencingNumber,
        id: placement::ReservationId,
        state: placement::ReservationState,
        sender: &name::InstanceName,
        sender_incarnation: amount::IncarnationNumber,
    ) -> Result<placement::MemoryReservation, placement::ReservationRefusal> {
        let reservation = self
            .reservations
            .get(&id)
            .ok_or(placement::ReservationRefusal::NoSuchReservation { id })?;
        if !reservation.state.may_become(state) {
            return Err(placement::ReservationRefusal::IllegalTransition {
                id,
                from: reservation.state,
                to: state,
            });
        }
        let starts_order = state.is_unresolved() && !reservation.state.is_unresolved();
        if starts_order && reservation.artifact.adapter.is_none() {
            self.check_unresolved(&reservation.server)?;
        }
        let mut reservation = reservation.clone();
        reservation.state = state;
        reservation.fence = fence;
        reservation.sender = sender.clone();
        reservation.sender_incarnation = sender_incarnation;
        self.reservations.insert(id, reservation.clone());
        Ok(reservation)
    }

    /// Frees a reservation, and returns whether it existed.
    pub fn release(&mut self, id: placement::ReservationId) -> bool {
        let Some(reservation) = self.reservations.remove(&id) else {
            return false;
        };
        remove_from_index(&mut self.servers, &reservation.server, id);
        remove_from_index(&mut self.models, &reservation.artifact.model, id);
        true
    }

    /// Records a replica that a backend server reported as loaded, so that its memory counts, even
    /// if it breaks the rules for memory and replicas.
    ///
    /// Returns the existing reservation if the artifact has one at this incarnation.
    ///
    /// # Errors
    ///
    /// Fails if the incarnation has ended.
    pub fn adopt(
        &mut self,
        fence: amount::FencingNumber,
        request: &placement::ReplicaRequest,
    ) -> Result<placement::MemoryReservation, placement::ReservationRefusal> {
        self.check_incarnation(request)?;
        if let Some(known) = self.existing_reservation(request) {
            return Ok(known.clone());
        }
        let reservation = request.reservation(fence, placement::ReservationState::Loaded);
        self.raise_incarnation(&request.server, request.incarnation);
        self.insert(reservation.clone());
        Ok(reservation)
    }

    /// Frees the reservations of a backend server's incarnations before this one, and returns their
    /// number.
    pub fn retire(
        &mut self,
        server: &name::ServerName,
        incarnation: amount::IncarnationNumber,
    ) -> usize {
        self.raise_incarnation(server, incarnation);
        let ids: Vec<placement::ReservationId> = self
            .on_server(server)
            .filter(|reservation| reservation.incarnation < incarnation)
            .map(|reservation| reservation.id)
            .collect();
        for id in &ids {
            self.release(*id);
        }
        ids.len()
    }

    /// Returns the reservation with this number.
    #[must_use]
    pub fn get(&self, id: placement::ReservationId) -> Option<&placement::MemoryReservation> {
        self.reservations.get(&id)
    }

    /// Returns the number of reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Returns whether there is no reservation.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Returns all reservations, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &placement::MemoryReservation> {
        self.reservations.values()
    }

    /// Returns the reservations of a backend server, the oldest first.
    pub fn on_server(&self, server: &str) -> impl Iterator<Item = &placement::MemoryReservation> {
        self.lookup(self.servers.get(server))
    }

    /// Returns the reservations of a model and its adapters, the oldest first.
    pub fn of_model(&self, model: &str) -> impl Iterator<Item = &placement::MemoryReservation> {
        self.lookup(self.models.get(model))
    }

    /// Returns the reservations of an artifact, the oldest first.
    pub fn of_artifact<'a>(
        &'a self,
        artifact: &'a placement::ReplicaArtifact,
    ) -> impl Iterator<Item = &'a placement::MemoryReservation> {
        self.of_model(&artifact.model)
            .filter(move |reservation| reservation.artifact == *artifact)
    }

    /// Returns the number of bytes reserved on a backend server.
    #[must_use]
    pub fn reserved_bytes(&self, server: &str) -> amount::ByteCount {
        self.on_server(server)
            .fold(amount::ByteCount::ZERO, |sum, reservation| {
                sum.saturating_add(reservation.bytes)
            })
    }

    /// Returns the number of a model's replicas with a reservation, in all states and versions.
    #[must_use]
    pub fn replica_count(&self, model: &str) -> usize {
        self.of_model(model)
            .filter(|reservation| reservation.artifact.adapter.is_none())
            .count()
    }

    fn lookup<'a>(
        &'a self,
        ids: Option<&'a ReservationIds>,
    ) -> impl Iterator<Item = &'a placement::MemoryReservation> {
        ids.into_iter()
            .flatten()
            .filter_map(|id| self.reservations.get(id))
    }

    fn insert(&mut self, reservation: placement::MemoryReservation) {
        let id = reservation.id;
        self.servers
            .entry(reservation.server.clone())
            .or_default()
            .insert(id);
        self.models
            .entry(reservation.artifact.model.clone())
            .or_default()
            .insert(id);
        self.reservations.insert(id, reservation);
    }

    /// Returns the reservation of the same artifact at the same incarnation.
    fn existing_reservation(
        &self,
        request: &placement::ReplicaRequest,
    ) -> Option<&placement::MemoryReservation> {
        self.on_server(&request.server).find(|reservation| {
            reservation.incarnation == request.incarnation
                && reservation.artifact == request.artifact
        })
    }

    fn raise_incarnation(
        &mut self,
        server: &name::ServerName,
        incarnation: amount::IncarnationNumber,
    ) {
        let servers = &self.servers;
        self.incarnations
            .raise(server, incarnation, |server| servers.contains_key(server));
    }

    fn check_incarnation(
        &self,
        request: &placement::ReplicaRequest,
    ) -> Result<(), placement::ReservationRefusal> {
        let known = self.incarnations.get(&request.server);
        if request.incarnation >= known {
            return Ok(());
        }
        Err(placement::ReservationRefusal::IncarnationEnded {
            server: request.server.clone(),
            found: request.incarnation,
            known,
        })
    }

    fn check_duplicate(
        &self,
        request: &placement::ReplicaRequest,
    ) -> Result<(), placement::ReservationRefusal> {
        let duplicate = self
            .on_server(&request.server)
            .find(|reservation| reservation.artifact == request.artifact);
        match duplicate {
            Some(reservation) => Err(placement::ReservationRefusal::DuplicateArtifact {
                server: request.server.clone(),
                id: reservation.id,
            }),
            None => Ok(()),
        }
    }

    fn check_base(
        &self,
        request: &placement::ReplicaRequest,
    ) -> Result<(), placement::ReservationRefusal> {
        let is_loaded = self.on_server(&request.server).any(|reservation| {
            reservation.artifact.model == request.artifact.model
                && reservation.artifact.version == request.artifact.version
                && reservation.artifact.adapter.is_none()
                && reservation.incarnation == request.incarnation
                && reservation.state == placement::ReservationState::Loaded
        });
        if is_loaded {
            return Ok(());
        }
        Err(placement::ReservationRefusal::BaseNotLoaded {
            server: request.server.clone(),
            model: request.artifact.model.clone(),
        })
    }

    fn check_model(
        &self,
        request: &placement::ReplicaRequest,
        intent: &intent::FleetIntent,
    ) -> Result<(), placement::ReservationRefusal> {
        self.check_unresolved(&request.server)?;
        let model = &request.artifact.model;
        let replicas = self.replica_count(model);
        let max = intent.model(model).map_or(0, |model| model.max_replicas);
        if replicas < max as usize {
            return Ok(());
        }
        Err(placement::ReservationRefusal::TooManyReplicas {
            model: model.clone(),
            replicas,
            max,
        })
    }

    fn check_unresolved(
        &self,
        server: &name::ServerName,
    ) -> Result<(), placement::ReservationRefusal> {
        let unresolved = self.on_server(server).find(|reservation| {
            reservation.artifact.adapter.is_none() && reservation.state.is_unresolved()
        });
        match unresolved {
            Some(reservation) => Err(placement::ReservationRefusal::OrderUnresolved {
                server: server.clone(),
                id: reservation.id,
            }),
            None => Ok(()),
        }
    }

    fn check_memory(
        &self,
        request: &placement::ReplicaRequest,
        capacity: amount::ByteCount,
    ) -> Result<(), placement::ReservationRefusal> {
        let reserved = self.reserved_bytes(&request.server);
        let fits = reserved
            .0
            .checked_add(request.bytes.0)
            .is_some_and(|bytes| bytes <= capacity.0);
        if fits {
            return Ok(());
        }
        Err(placement::ReservationRefusal::NoMemory {
            server: request.server.clone(),
            bytes: request.bytes,
            reserved,
            capacity,
        })
    }
}

fn check_intent(
    request: &placement::ReplicaRequest,
    intent: &intent::FleetIntent,
) -> Result<(), placement::ReservationRefusal> {
    let stated = stated_bytes(&request.artifact, intent);
    let stated = stated.ok_or_else(|| placement::ReservationRefusal::NotIntended {
        artifact: request.artifact.to_string(),
    })?;
    if request.bytes >= stated {
        return Ok(());
    }
    Err(placement::ReservationRefusal::TooFewBytes {
        artifact: request.artifact.to_string(),
        bytes: request.bytes,
        stated,
    })
}

/// Returns the memory that the intent states for an artifact, if the intent contains this version.
fn stated_bytes(
    artifact: &placement::ReplicaArtifact,
    intent: &intent::FleetIntent,
) -> Option<amount::ByteCount> {
    let model = intent.model(&artifact.model)?;
    if model.version != artifact.version {
        return None;
    }
    let Some(adapter) = &artifact.adapter else {
        return Some(model.bytes);
    };
    model
        .adapters
        .iter()
        .find(|known| known.name == *adapter)
        .map(|known| known.bytes)
}

fn remove_from_index<N: Ord>(
    index: &mut collections::BTreeMap<N, ReservationIds>,
    name: &N,
    id: placement::ReservationId,
) {
    let Some(ids) = index.get_mut(name) else {
        return;
    };
    ids.remove(&id);
    if ids.is_empty() {
        index.remove(name);
    }
}
