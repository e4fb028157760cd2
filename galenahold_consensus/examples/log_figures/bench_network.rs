//! In-process transport that encodes and decodes each message.

use std::collections;
use std::sync;
use std::sync::atomic;

use galenahold_consensus::driver;
use galenahold_consensus::member;
use galenahold_consensus::message;

use crate::blob_machine;

pub(crate) type Handle = driver::LogHandle<blob_machine::BlobMachine>;

/// Connects members by name, counts the bytes sent and can isolate one member.
#[derive(Clone, Default)]
pub(crate) struct BenchNetwork {
    state: sync::Arc<sync::RwLock<NetworkState>>,
}

#[derive(Default)]
struct NetworkState {
    handles: collections::BTreeMap<member::MemberName, Handle>,
    isolated: Option<member::MemberName>,
    sent_bytes: atomic::AtomicU64,
}

impl BenchNetwork {
    pub(crate) fn attach(&self, name: &str, handle: Handle) {
        let mut state = self
            .state
            .write()
            .expect("the network lock is not poisoned");
        state.handles.insert(member::MemberName::new(name), handle);
    }

    /// Returns the total number of bytes sent by all members.
    pub(crate) fn sent_bytes(&self) -> u64 {
        let state = self.state.read().expect("the network lock is not poisoned");
        state.sent_bytes.load(atomic::Ordering::Relaxed)
    }

    pub(crate) fn set_isolated(&self, name: Option<&str>) {
        self.state
            .write()
            .expect("the network lock is not poisoned")
            .isolated = name.map(member::MemberName::new);
    }
}

impl driver::MessageTransport for BenchNetwork {
    fn send(&mut self, to: &member::MemberEndpoint, message: message::ConsensusMessage) {
        let encoded = message.encode();
        let state = self.state.read().expect("the network lock is not poisoned");
        let length = u64::try_from(encoded.len()).unwrap_or(u64::MAX);
        state
            .sent_bytes
            .fetch_add(length, atomic::Ordering::Relaxed);
        let isolated = state.isolated.as_ref();
        if isolated == Some(&to.name) || isolated == Some(&message.from_endpoint.name) {
            return;
        }
        if let Some(handle) = state.handles.get(&to.name) {
            let decoded = message::ConsensusMessage::decode(&encoded);
            handle.deliver(decoded.expect("a message just encoded is decodable"));
        }
    }
}
