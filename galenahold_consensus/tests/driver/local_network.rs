//! Test transport that delivers messages within the process.

use std::collections;
use std::sync;

use galenahold_consensus::driver;
use galenahold_consensus::member;
use galenahold_consensus::message;

use crate::text_machine;

type Handle = driver::LogHandle<text_machine::TextMachine>;

/// Connects members by name and address; an isolated member neither sends nor receives.
#[derive(Clone, Default)]
pub(crate) struct LocalNetwork {
    state: sync::Arc<sync::Mutex<NetworkState>>,
}

#[derive(Default)]
struct NetworkState {
    members: collections::BTreeMap<member::MemberName, AttachedMember>,
    isolated: collections::BTreeSet<member::MemberName>,
}

struct AttachedMember {
    address: member::MemberAddress,
    handle: Handle,
}

impl LocalNetwork {
    pub(crate) fn attach(&self, name: &str, address: &str, handle: Handle) {
        let attached = AttachedMember {
            address: member::MemberAddress::new(address),
            handle,
        };
        let mut state = self.state.lock().expect("the network lock is not poisoned");
        state
            .members
            .insert(member::MemberName::new(name), attached);
    }

    pub(crate) fn detach(&self, name: &str) {
        let mut state = self.state.lock().expect("the network lock is not poisoned");
        state.members.remove(&member::MemberName::new(name));
    }

    pub(crate) fn isolate(&self, name: &str) {
        let mut state = self.state.lock().expect("the network lock is not poisoned");
        state.isolated.insert(member::MemberName::new(name));
    }

    pub(crate) fn heal(&self) {
        self.state
            .lock()
            .expect("the network lock is not poisoned")
            .isolated
            .clear();
    }
}

impl driver::MessageTransport for LocalNetwork {
    fn send(&mut self, to: &member::MemberEndpoint, message: message::ConsensusMessage) {
        let handle = {
            let state = self.state.lock().expect("the network lock is not poisoned");
            let open = !state.isolated.contains(&to.name)
                && !state.isolated.contains(&message.from_endpoint.name);
            let receiver = state.members.get(&to.name);
            receiver
                .filter(|receiver| open && receiver.address == to.address)
                .map(|receiver| receiver.handle.clone())
        };
        let Some(handle) = handle else {
            return;
        };
        let encoded = message.encode();
        let decoded = message::ConsensusMessage::decode(&encoded)
            .expect("a message just encoded is decodable");
        handle.deliver(decoded);
    }
}
