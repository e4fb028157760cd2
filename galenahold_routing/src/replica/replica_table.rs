//! The table of announced backend servers and their replicas.

use std::collections;
use std::time;

use galenahold_domain::{amount, name, placement, server};

use crate::replica;
use crate::replica::server_entry::LocalWork;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The replicas that requests may be sent to, as backend servers announced them.
///
/// Announcements are ordered by incarnation and then by sequence number, so late ones change nothing.
/// Once a server is leaving, it stays so for the whole incarnation. A server whose last announcement is
/// too old keeps its entry and gets no new requests.
#[derive(Debug)]
pub struct ReplicaTable {
    settings: replica::TableSettings,
    servers: slotmap::SlotMap<replica::ServerKey, replica::ServerEntry>,
    replicas: slotmap::SlotMap<replica::ReplicaKey, replica::ReplicaEntry>,
    by_name: collections::BTreeMap<name::ServerName, replica::ServerKey>,
    by_target: collections::BTreeMap<replica::ReplicaTarget, Vec<replica::ReplicaKey>>,
    by_age: collections::BTreeSet<ServerAge>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServerAge {
    seen_at: time::Instant,
    server: replica::ServerKey,
}

impl ReplicaTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new(settings: replica::TableSettings) -> Self {
        Self {
            settings,
            servers: slotmap::SlotMap::with_key(),
            replicas: slotmap::SlotMap::with_key(),
            by_name: collections::BTreeMap::new(),
            by_target: collections::BTreeMap::new(),
            by_age: collections::BTreeSet::new(),
        }
    }

    /// Applies an announcement that is `age` old.
    pub fn announce(
        &mut self,
        announcement: &server::ServerAnnouncement,
        age: time::Duration,
        now: time::Instant,
    ) -> replica::TableChange {
        let seen_at = now.checked_sub(age).unwrap_or(now);
        let known = self.by_name.get(&announcement.name).copied();
        let same = known.filter(|key| self.servers[*key].incarnation == announcement.incarnation);
        match (known, same) {
            (_, Some(key)) => self.renew(key, announcement, seen_at, now),
            (Some(key), None) if self.servers[key].incarnation > announcement.incarnation => {
                replica::TableChange::Stale
            }
            (ended, None) => self.start(ended, announcement, seen_at, now),
        }
    }

    /// Removes the replicas of servers whose last announcement is too old; returns the servers' keys.
    pub fn expire(&mut self, now: time::Instant) -> Vec<replica::ServerKey> {
        let mut expired = Vec::new();
        let Some(limit) = now.checked_sub(self.settings.expiry) else {
            return expired;
        };
        while let Some(age) = self.by_age.first().copied() {
            if age.seen_at >= limit {
                break;
            }
            self.by_age.remove(&age);
            self.servers[age.server].live = false;
            self.set_replicas(age.server, &[]);
            expired.push(age.server);
        }
        self.drop_old_servers(now);
        expired
    }

    /// Marks a server as leaving: it gets no new requests in this incarnation.
    pub fn mark_leaving(&mut self, key: replica::ServerKey) {
        if let Some(entry) = self.servers.get_mut(key) {
            entry.leaving = true;
            self.set_replicas(key, &[]);
        }
    }

    /// Adds a replica to a server's incarnation if it takes requests.
    ///
    /// The replica stays until an announcement that does not list it.
    pub fn mark_ready(
        &mut self,
        key: replica::ServerKey,
        incarnation: amount::IncarnationNumber,
        target: &replica::ReplicaTarget,
    ) {
        let Some(entry) = self.servers.get(key) else {
            return;
        };
        let is_known = entry
            .replicas
            .iter()
            .any(|replica| self.replicas[*replica].target == *target);
        if is_known || entry.incarnation != incarnation || !entry.takes_work() {
            return;
        }
        let replica = self.insert_replica(key, target);
        self.servers[key].replicas.push(replica);
    }

    /// Lists the replicas that serve a target, into a buffer that is cleared first.
    pub fn candidates(
        &self,
        target: &replica::ReplicaTarget,
        now: time::Instant,
        candidates: &mut Vec<replica::ReplicaCandidate>,
    ) {
        candidates.clear();
        let keys = self.by_target.get(target).map_or(&[][..], Vec::as_slice);
        candidates.extend(keys.iter().filter_map(|key| self.candidate(*key, now)));
    }

    /// Returns whether any replica serves a target.
    #[must_use]
    pub fn has_replica(&self, target: &replica::ReplicaTarget) -> bool {
        self.by_target.contains_key(target)
    }

    /// Records that a request was sent to a replica.
    pub fn begin(&mut self, key: replica::ReplicaKey, tokens: amount::TokenCount) {
        self.update_work(key, |local| {
            local.tokens += tokens.0;
            local.requests += 1;
        });
    }

    /// Records that a request has ended; `tokens` must be the same as in its call of [`Self::begin`].
    pub fn finish(&mut self, key: replica::ReplicaKey, tokens: amount::TokenCount) {
        self.update_work(key, |local| {
            local.tokens = local.tokens.saturating_sub(tokens.0);
            local.requests = local.requests.saturating_sub(1);
        });
    }

    /// Returns a replica, or `None` if it is no longer in the table.
    #[must_use]
    pub fn replica(&self, key: replica::ReplicaKey) -> Option<&replica::ReplicaEntry> {
        self.replicas.get(key)
    }

    /// Returns a server, or `None` if it is no longer in the table.
    #[must_use]
    pub fn server(&self, key: replica::ServerKey) -> Option<&replica::ServerEntry> {
        self.servers.get(key)
    }

    /// Returns the key of a server's latest known incarnation.
    #[must_use]
    pub fn server_key(&self, name: &name::ServerName) -> Option<replica::ServerKey> {
        self.by_name.get(name).copied()
    }

    fn candidate(
        &self,
        key: replica::ReplicaKey,
        now: time::Instant,
    ) -> Option<replica::ReplicaCandidate> {
        let entry = self.replicas.get(key)?;
        let server = self.servers.get(entry.server)?;
        let fresh = now.saturating_duration_since(server.seen_at) <= self.settings.expiry;
        if !fresh || !server.takes_work() {
            return None;
        }
        let decay_time = self.settings.report_decay_time;
        Some(replica::ReplicaCandidate {
            key,
            server: entry.server,
            tokens: server.estimate_tokens(now, decay_time),
            requests: server.estimate_requests(now, decay_time),
            name_hash: server.name_hash,
            local_requests: entry.local.requests,
        })
    }

    fn update_work(&mut self, key: replica::ReplicaKey, update: impl Fn(&mut LocalWork)) {
        let Some(entry) = self.replicas.get_mut(key) else {
            return;
        };
        update(&mut entry.local);
        if let Some(server) = self.servers.get_mut(entry.server) {
            update(&mut server.local);
        }
    }

    fn start(
        &mut self,
        ended: Option<replica::ServerKey>,
        announcement: &server::ServerAnnouncement,
        seen_at: time::Instant,
        now: time::Instant,
    ) -> replica::TableChange {
        if let Some(key) = ended {
            self.remove(key);
        }
        let key = self.servers.insert(replica::ServerEntry {
            name: announcement.name.clone(),
            name_hash: hash_name(&announcement.name),
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            address: announcement.address,
            data_centre: announcement.data_centre.clone(),
            leaving: false,
            live: false,
            seen_at,
            load: announcement.load,
            local_at_report: LocalWork::default(),
            local: LocalWork::default(),
            replicas: Vec::new(),
        });
        self.by_name.insert(announcement.name.clone(), key);
        self.apply(key, announcement, seen_at, now);
        replica::TableChange::Started { server: key, ended }
    }

    fn renew(
        &mut self,
        key: replica::ServerKey,
        announcement: &server::ServerAnnouncement,
        seen_at: time::Instant,
        now: time::Instant,
    ) -> replica::TableChange {
        if announcement.sequence <= self.servers[key].sequence {
            return replica::TableChange::Stale;
        }
        let replicas_changed = self.apply(key, announcement, seen_at, now);
        replica::TableChange::Renewed {
            server: key,
            replicas_changed,
        }
    }

    /// Applies an announcement to its server; returns whether the replicas that take requests changed.
    fn apply(
        &mut self,
        key: replica::ServerKey,
        announcement: &server::ServerAnnouncement,
        seen_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let expiry = self.settings.expiry;
        let entry = &mut self.servers[key];
        let last_seen_at = entry.seen_at;
        entry.sequence = announcement.sequence;
        entry.address = announcement.address;
        entry.leaving |= announcement.leaving;
        entry.live = now.saturating_duration_since(seen_at) <= expiry;
        entry.seen_at = seen_at;
        entry.load = announcement.load;
        entry.local_at_report = entry.local;
        let (live, takes_work) = (entry.live, entry.takes_work());
        self.by_age.remove(&ServerAge {
            seen_at: last_seen_at,
            server: key,
        });
        if live {
            self.by_age.insert(ServerAge {
                seen_at,
                server: key,
            });
        }
        let targets = if takes_work {
            ready_targets(announcement)
        } else {
            Vec::new()
        };
        self.set_replicas(key, &targets)
    }

    /// Replaces a server's replicas by the targets of a list; replicas that stay keep their keys.
    fn set_replicas(
        &mut self,
        server: replica::ServerKey,
        targets: &[replica::ReplicaTarget],
    ) -> bool {
        let old = std::mem::take(&mut self.servers[server].replicas);
        let (kept, gone): (Vec<_>, Vec<_>) = old
            .into_iter()
            .partition(|key| targets.contains(&self.replicas[*key].target));
        let mut replicas = kept;
        let mut changed = !gone.is_empty();
        for key in gone {
            self.remove_replica(key);
        }
        for target in targets {
            if replicas
                .iter()
                .any(|key| self.replicas[*key].target == *target)
            {
                continue;
            }
            changed = true;
            replicas.push(self.insert_replica(server, target));
        }
        self.servers[server].replicas = replicas;
        changed
    }

    fn insert_replica(
        &mut self,
        server: replica::ServerKey,
        target: &replica::ReplicaTarget,
    ) -> replica::ReplicaKey {
        let key = self.replicas.insert(replica::ReplicaEntry {
            server,
            target: target.clone(),
            local: LocalWork::default(),
        });
        self.by_target.entry(target.clone()).or_default().push(key);
        key
    }

    fn remove_replica(&mut self, key: replica::ReplicaKey) {
        let Some(entry) = self.replicas.remove(key) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(entry.server) {
            server.local.tokens = server.local.tokens.saturating_sub(entry.local.tokens);
            server.local.requests = server.local.requests.saturating_sub(entry.local.requests);
        }
        let Some(keys) = self.by_target.get_mut(&entry.target) else {
            return;
        };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.by_target.remove(&entry.target);
        }
    }

    fn remove(&mut self, key: replica::ServerKey) {
        self.set_replicas(key, &[]);
        if let Some(entry) = self.servers.remove(key) {
            self.by_age.remove(&ServerAge {
                seen_at: entry.seen_at,
                server: key,
            });
        }
    }

    /// Drops old servers, which were kept only to recognise late announcements.
    fn drop_old_servers(&mut self, now: time::Instant) {
        let forget_after = self.settings.forget_after;
        let servers = &mut self.servers;
        self.by_name.retain(|_, key| {
            let entry = &servers[*key];
            let old = now.saturating_duration_since(entry.seen_at) > forget_after;
            if old {
                servers.remove(*key);
            }
            !old
        });
    }
}

/// Hashes a name with FNV-1a, which gives the same value in every process.
fn hash_name(name: &name::ServerName) -> u64 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

fn ready_targets(announcement: &server::ServerAnnouncement) -> Vec<replica::ReplicaTarget> {
    let service = announcement.service.iter();
    let services = service.map(|service| replica::ReplicaTarget::Service(service.clone()));
    let ready = announcement
        .loaded
        .iter()
        .filter(|loaded| loaded.state == server::ReplicaState::Ready);
    let artifacts = ready.map(|loaded| {
        replica::ReplicaTarget::Artifact(placement::ReplicaArtifact {
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            adapter: loaded.adapter.clone(),
        })
    });
    services.chain(artifacts).collect()
}
