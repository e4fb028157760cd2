//! Tells all instances of replicas that were just loaded.

use std::time;

use galenahold_domain::placement as reserved;
use galenahold_wire::message;

use crate::peer;
use crate::registry;
use crate::task;

/// How long another instance may take to take a notice; its next announcement tells it otherwise.
const NOTICE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Tells all instances of a loaded replica as soon as its order is answered.
///
/// A backend server announces itself about once a second, and a waiting request need not wait for that.
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

    /// Tells this instance and all others that the replica of a reservation is loaded.
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
                // The next announcement tells an instance that the notice did not reach.
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
