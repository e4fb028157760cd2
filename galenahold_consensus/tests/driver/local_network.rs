//! A transport within the process.

use std::collections;
use std::sync;

use galenahold_consensus::driver;
use galenahold_consensus::member;
use galenahold_consensus::message;

use crate::text_machine;

type Handle = driver::LogHandle<text_machine::TextMachine>;

/// Joins members by their names; a cut member neither sends nor receives.
#[derive(Clone, Default)]
pub(crate) struct LocalNetwork {
    state: sync::Arc<sync::Mutex<NetworkState>>,
}

#[derive(Default)]
struct NetworkState {
    handles: collections::BTreeMap<member::MemberName, Handle>,
    cut: collections::BTreeSet<member::MemberName>,
}

impl LocalNetwork {
    pub(crate) fn attach(&self, name: &str, handle: Handle) {
        let mut state = self.state.lock().expect("network");
        state.handles.insert(member::MemberName::new(name), handle);
    }

    pub(crate) fn detach(&self, name: &str) {
        let mut state = self.state.lock().expect("network");
        state.handles.remove(&member::MemberName::new(name));
    }

    pub(crate) fn cut(&self, name: &str) {
        let mut state = self.state.lock().expect("network");
        state.cut.insert(member::MemberName::new(name));
    }

    pub(crate) fn heal(&self) {
        self.state.lock().expect("network").cut.clear();
    }
}

impl driver::MessageTransport for LocalNetwork {
    fn send(&mut self, to: &member::MemberEndpoint, message: message::ConsensusMessage) {
        let handle = {
            let state = self.state.lock().expect("network");
            let open =
                !state.cut.contains(&to.name) && !state.cut.contains(&message.from_endpoint.name);
            state.handles.get(&to.name).filter(|_| open).cloned()
        };
        let Some(handle) = handle else {
            return;
        };
        let encoded = message.encode();
        let decoded = message::ConsensusMessage::decode(&encoded).expect("own message");
        handle.deliver(decoded);
    }
}
