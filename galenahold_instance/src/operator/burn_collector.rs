//! Collects the counts against service objectives from all other instances.

use std::time;

use futures::future;
use galenahold_wire::message;

use crate::peer;

/// The timeout of a call to one instance.
const BURN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Collects snapshots of the counts against service objectives from all other instances.
#[derive(Debug, Clone)]
pub(crate) struct BurnCollector {
    network: peer::PeerNetwork,
}

/// The result of a collection.
#[derive(Debug)]
pub(crate) struct CollectedBurn {
    /// The snapshots, as JSON.
    pub(crate) snapshots: Vec<String>,
    /// The instances that did not answer.
    pub(crate) missing: Vec<String>,
}

impl BurnCollector {
    /// Creates a collector.
    pub(crate) fn new(network: peer::PeerNetwork) -> Self {
        Self { network }
    }

    /// Requests snapshots from all other instances concurrently.
    pub(crate) async fn collect(&self) -> CollectedBurn {
        let cards = self.network.directory().others();
        let asking = cards.iter().map(|card| self.ask(card));
        let answers = future::join_all(asking).await;
        let mut collected = CollectedBurn {
            snapshots: Vec::new(),
            missing: Vec::new(),
        };
        for (card, answer) in cards.iter().zip(answers) {
            match answer {
                Some(snapshot) => collected.snapshots.push(snapshot),
                None => collected.missing.push(card.name.to_string()),
            }
        }
        collected
    }

    async fn ask(&self, card: &message::InstanceProfile) -> Option<String> {
        self.network
            .call(&card.name, BURN_TIMEOUT, |client, context| async move {
                client.burn(context, message::BurnRequest {}).await
            })
            .await
            .ok()
            .map(|reply| reply.snapshot)
    }
}
