//! Sends messages of the replicated log to other members.

use std::collections;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::member;
use galenahold_consensus::message as raft_message;
use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_wire::message;
use tokio::sync::mpsc;

use crate::peer;
use crate::task;

/// The maximum number of queued messages to one member; further messages are dropped, which the log tolerates.
const MAX_QUEUED: usize = 1_024;

/// The maximum number of messages in one batch.
const MAX_BATCH: usize = 64;

/// The timeout of sending a batch.
const BATCH_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Sends messages of the replicated log to other members, in order for each member.
#[derive(Debug)]
pub(crate) struct LogTransport {
    network: peer::PeerNetwork,
    group: task::TaskGroup,
    queues: collections::HashMap<member::MemberName, mpsc::Sender<Vec<u8>>>,
}

impl LogTransport {
    /// Creates a transport whose sending tasks belong to `group`.
    pub(crate) fn new(network: peer::PeerNetwork, group: task::TaskGroup) -> Self {
        Self {
            network,
            group,
            queues: collections::HashMap::new(),
        }
    }

    fn queue(&mut self, to: &member::MemberEndpoint) -> &mpsc::Sender<Vec<u8>> {
        self.queues.entry(to.name.clone()).or_insert_with(|| {
            register_member(&self.network, to);
            let (sender, receiver) = mpsc::channel(MAX_QUEUED);
            let target = name::InstanceName::from(to.name.as_str());
            let sending = send_batches(self.network.clone(), target, receiver);
            self.group.spawn_until_stop(sending);
            sender
        })
    }
}

impl driver::MessageTransport for LogTransport {
    fn send(&mut self, to: &member::MemberEndpoint, message: raft_message::ConsensusMessage) {
        // A message to a full queue is dropped, which the log tolerates.
        let _ = self.queue(to).try_send(message.encode());
    }
}

/// Adds a member to the peer directory if the settings do not name it.
fn register_member(network: &peer::PeerNetwork, to: &member::MemberEndpoint) {
    let Ok(address) = to.address.as_str().parse() else {
        return;
    };
    let card = message::InstanceProfile {
        name: name::InstanceName::from(to.name.as_str()),
        incarnation: amount::IncarnationNumber::ZERO,
        address,
        data_centre: name::DataCentreName::from(""),
    };
    network.directory().learn(&[card], time::Instant::now());
}

async fn send_batches(
    network: peer::PeerNetwork,
    target: name::InstanceName,
    mut receiver: mpsc::Receiver<Vec<u8>>,
) {
    let mut messages = Vec::new();
    while receiver.recv_many(&mut messages, MAX_BATCH).await > 0 {
        let batch = message::ConsensusBatch {
            from: network.directory().own().name.clone(),
            messages: std::mem::take(&mut messages),
        };
        // The log itself resends the content of a lost batch.
        let _ = network
            .call(&target, BATCH_TIMEOUT, |client, context| async move {
                client.consensus(context, batch).await
            })
            .await;
    }
}
