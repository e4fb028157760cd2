//! Collects what all instances counted against the services' objectives.

use std::time;

use futures::future;
use galenahold_wire::message;

use crate::peer;

/// How long an instance may take to answer.
const BURN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Collects what all instances counted against the services' objectives.
#[derive(Debug, Clone)]
pub(crate) struct BurnCollector {
    network: peer::PeerNetwork,
}

/// What the other instances answered.
#[derive(Debug)]
pub(crate) struct CollectedBurn {
    /// The JSON snapshots.
    pub(crate) snapshots: Vec<String>,
    /// Instances that did not answer.
    pub(crate) missing: Vec<String>,
}

impl BurnCollector {
    /// Creates a collector.
    pub(crate) fn new(network: peer::PeerNetwork) -> Self {
        Self { network }
    }

    /// Asks all other instances at once.
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
