//! Discovering, bootstrapping and joining a group.

use crate::bootstrap;
use crate::core;
use crate::driver;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;

impl<S, T, B> driver::LogThread<S, T, B>
where
    S: driver::StateMachine,
    T: driver::MessageTransport,
    B: storage::StorageBackend,
{
    pub(super) fn receive_bootstrap(
        &mut self,
        from: &member::MemberEndpoint,
        body: message::BootstrapBody,
    ) {
        if self.node.is_none() {
            if let Some(step) = self.bootstrap.receive(body) {
                self.join(step);
            }
            return;
        }
        let message::BootstrapBody::Greeting(joiner) = body else {
            return;
        };
        if let Some(node) = self.node.as_mut() {
            node.observe_empty_folder(&joiner);
        }
        self.forward_greeting(from, &joiner);
        if let Some(answer) = self.answer_greeting(joiner) {
            self.send_bootstrap(from, answer);
        }
    }

    /// Forwards a greeting that came directly from a joiner to the leader, which alone can add it.
    fn forward_greeting(&mut self, from: &member::MemberEndpoint, joiner: &member::MemberProfile) {
        let greeted_directly = joiner.endpoint == *from;
        let leader = self.leader();
        let leader = leader.filter(|leader| leader.id != self.node_settings.profile.id);
        if let Some(leader) = leader.filter(|_| greeted_directly) {
            let body = message::BootstrapBody::Greeting(joiner.clone());
            self.send_bootstrap(&leader.endpoint, body);
        }
    }

    fn answer_greeting(&mut self, joiner: member::MemberProfile) -> Option<message::BootstrapBody> {
        let node = self.node.as_ref()?;
        let cluster = node.settings().cluster;
        if node.membership().contains(joiner.id) {
            return Some(message::BootstrapBody::Welcome {
                cluster,
                genesis: self.folder.identity().genesis.clone(),
                guest: joiner.id,
            });
        }
        self.joiners.record(joiner, self.clock.now());
        Some(message::BootstrapBody::Founded { cluster })
    }

    /// Announces this data folder to a member whose message is meant for the identity that an
    /// earlier data folder had at this address.
    pub(super) fn greet_sender(&mut self, from: &member::MemberEndpoint) {
        let greeting = self.bootstrap.greeting();
        self.send_bootstrap(from, greeting);
    }

    pub(super) fn discover_group(&mut self, now: core::MonotonicTime) {
        for endpoint in self.bootstrap.greeting_targets(now) {
            let greeting = self.bootstrap.greeting();
            self.send_bootstrap(&endpoint, greeting);
        }
        if let Some(step) = self.bootstrap.creation_step() {
            self.join(step);
        }
    }

    fn send_bootstrap(&mut self, to: &member::MemberEndpoint, body: message::BootstrapBody) {
        let settings = &self.node_settings;
        let message = message::ConsensusMessage {
            version: message::ConsensusMessage::VERSION,
            cluster: self.folder.identity().cluster,
            from: settings.profile.id,
            from_endpoint: settings.profile.endpoint.clone(),
            to: None,
            boot: settings.boot,
            incarnation: settings.incarnation,
            term: log::Term::ZERO,
            durable: log::LogIndex::ZERO,
            body: message::MessageBody::Founding(body),
        };
        self.transport.send(to, message);
    }

    fn join(&mut self, step: bootstrap::BootstrapStep) {
        let (cluster, genesis) = match step {
            bootstrap::BootstrapStep::Create(genesis) => {
                (member::ClusterId::new(rand::random()), genesis)
            }
            bootstrap::BootstrapStep::Join { cluster, genesis } => (cluster, genesis),
        };
        if self.write(|store| store.join(cluster, genesis)) {
            self.start_node();
        }
    }

    pub(super) fn start_node(&mut self) {
        let identity = self.folder.identity();
        let Some(cluster) = identity.cluster else {
            return;
        };
        self.node_settings.cluster = cluster;
        self.node = Some(core::RaftNode::new(
            self.node_settings.clone(),
            identity.genesis.clone(),
            std::mem::take(&mut self.recovered),
            self.clock.now(),
        ));
    }
}
