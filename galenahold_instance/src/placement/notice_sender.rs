//! Notifies all instances of newly loaded replicas.

use std::time;

use galenahold_domain::placement as reserved;
use galenahold_wire::message;

use crate::peer;
use crate::registry;
use crate::task;

/// The timeout of a notice to another instance, which otherwise learns of the replica from the next
/// announcement.
const NOTICE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Notifies all instances of a loaded replica as soon as its order is answered.
///
/// A backend server announces itself about once a second; with a notice, waiting requests start sooner.
#[derive(Clone)]
pub(crate) struct NoticeSender {
    network: peer::PeerNetwork,
    registry: registry::ServerRegistry,
    group: task::TaskGroup,
}

impl NoticeSender {
    /// Creates a sender.
    pub(crate) fn new(
        network: peer::PeerNetwork,
        registry: registry::ServerRegistry,
        group: task::TaskGroup,
    ) -> Self {
        Self {
            network,
            registry,
            group,
        }
    }

    /// Notifies this instance and all others that the replica of a reservation is loaded.
    pub(crate) fn send(&self, reservation: &reserved::MemoryReservation) {
        let notice = message::ReplicaNotice {
            server: reservation.server.clone(),
            incarnation: reservation.incarnation,
            artifact: reservation.artifact.clone(),
            bytes: reservation.bytes,
            order: reservation.id,
            age_ms: 0,
        };
        self.registry
            .record_notice(notice.clone(), time::Instant::now());
        for card in self.network.directory().others() {
            let network = self.network.clone();
            let batch = self.batch(notice.clone());
            self.group.spawn_until_stop(async move {
                let calling =
                    network.call(&card.name, NOTICE_TIMEOUT, |client, context| async move {
                        client.spread(context, batch).await
                    });
                // An instance that the notice did not reach learns of the replica from the next announcement.
                let _ = calling.await;
            });
        }
    }

    fn batch(&self, notice: message::ReplicaNotice) -> message::GossipBatch {
        message::GossipBatch {
            card: self.network.directory().own().clone(),
            known: Vec::new(),
            announcements: Vec::new(),
            heartbeats: Vec::new(),
            notices: vec![notice],
            events: Vec::new(),
        }
    }
}
