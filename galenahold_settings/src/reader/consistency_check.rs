//! Validation rules that span several fields.

use crate::description;
use crate::error;
use crate::group;
use crate::reader;

/// Finds inconsistencies between fields whose values are valid individually.
#[derive(Debug)]
pub(crate) struct ConsistencyCheck<'a> {
    root: &'a reader::ParsedGroup,
    roles: Vec<group::InstanceRole>,
    problems: Vec<error::SettingsProblem>,
}

impl<'a> ConsistencyCheck<'a> {
    /// Creates a check of the root group of a file.
    pub(crate) fn new(root: &'a reader::ParsedGroup) -> Self {
        let roles = root
            .group(&group::instance_settings::INSTANCE)
            .map(group::instance_identity::roles_of)
            .unwrap_or_default();
        Self {
            root,
            roles,
            problems: Vec::new(),
        }
    }

    /// Runs all checks and returns the problems found.
    pub(crate) fn problems(mut self) -> Vec<error::SettingsProblem> {
        self.check_roles();
        self.check_data_folder();
        self.check_listen();
        self.check_addresses();
        self.check_operators();
        self.check_peers();
        self.check_relay();
        self.check_times();
        self.check_fencing();
        self.problems
    }

    fn check_roles(&mut self) {
        let instance = self.root.group(&group::instance_settings::INSTANCE);
        let roles = instance.and_then(|group| group.field(&group::instance_identity::ROLES));
        if let Some(roles) = roles
            && matches!(&roles.value, reader::ParsedValue::List(list) if list.is_empty())
        {
            self.report(
                roles,
                "an instance needs a role",
                "\"entry\", \"control\" or both",
            );
        }
    }

    fn check_data_folder(&mut self) {
        let folder = self.root.field(&group::instance_settings::DATA_FOLDER);
        let control = self.has_role(group::InstanceRole::Control);
        match folder {
            Some(folder) if !self.roles.is_empty() && !control => self.report(
                folder,
                "the instance lacks the role \"control\"",
                "no data folder without the role \"control\"",
            ),
            None if control && !self.root.is_present(&group::instance_settings::DATA_FOLDER) => {
                self.report_missing(
                    self.root.position,
                    "data_folder",
                    "a path in quotes; the role \"control\" needs a data folder",
                );
            }
            _ => {}
        }
    }

    fn check_listen(&mut self) {
        let Some(listen) = self.root.group(&group::instance_settings::LISTEN) else {
            return;
        };
        if self.has_role(group::InstanceRole::Entry) {
            self.check_entry_addresses(listen);
        }
        self.check_peer_address(listen);
    }

    fn check_entry_addresses(&mut self, listen: &reader::ParsedGroup) {
        for (field, path) in [
            (group::listen_settings::CALLERS, "listen.callers"),
            (group::listen_settings::BACKENDS, "listen.backends"),
        ] {
            if !listen.is_present(&field) {
                let allowed = format!("{}; the role \"entry\" needs it", field.kind);
                self.report_missing(listen.position, path, &allowed);
            }
        }
    }

    fn check_peer_address(&mut self, listen: &reader::ParsedGroup) {
        let advertise = self.root.group(&group::instance_settings::ADVERTISE);
        let advertised = advertise.and_then(|group| group.field(&group::advertise_settings::PEERS));
        let Some(address) = listen.address(&group::listen_settings::PEERS) else {
            return;
        };
        let not_dialable = address.port() == 0 || address.ip().is_unspecified();
        if let (true, None, Some(peers)) = (
            not_dialable,
            advertised,
            listen.field(&group::listen_settings::PEERS),
        ) {
            self.report(
                peers,
                "other instances cannot connect to port 0 or an unspecified IP address",
                "a complete address, or `advertise.peers` with the address to connect to",
            );
        }
    }

    /// Reports a listening address that is used for two purposes.
    fn check_addresses(&mut self) {
        let Some(listen) = self.root.group(&group::instance_settings::LISTEN) else {
            return;
        };
        let fields = group::ListenSettings::DESCRIPTION.fields;
        for (index, field) in fields.iter().enumerate() {
            let Some(address) = listen.address(field).filter(|address| address.port() != 0) else {
                continue;
            };
            let earlier = fields[..index]
                .iter()
                .find(|earlier| listen.address(earlier) == Some(address));
            if let (Some(earlier), Some(read)) = (earlier, listen.field(field)) {
                let found = format!("{address} is also `listen.{}`", earlier.name);
                self.report(read, &found, "a different address for each listener");
            }
        }
    }

    fn check_operators(&mut self) {
        let operators = self.root.list(&group::instance_settings::OPERATORS);
        let listen = self.root.group(&group::instance_settings::LISTEN);
        let api = listen.and_then(|listen| listen.field(&group::listen_settings::OPERATORS));
        let is_valid = self
            .root
            .field(&group::instance_settings::OPERATORS)
            .is_some();
        if api.is_some() && is_valid && operators.is_empty() {
            self.report_missing(
                self.root.position,
                "operators",
                "at least one operator; `listen.operators` needs it",
            );
        }
        self.check_distinct(operators, &group::operator_settings::NAME);
        self.check_distinct(operators, &group::operator_settings::CREDENTIAL_SHA256);
    }

    fn check_peers(&mut self) {
        let peers = self.root.list(&group::instance_settings::PEERS);
        self.check_distinct(peers, &group::peer_settings::NAME);
        self.check_distinct(peers, &group::peer_settings::ADDRESS);
        let own_name = self
            .root
            .group(&group::instance_settings::INSTANCE)
            .and_then(group::instance_identity::name_of);
        for peer in peers.iter().filter_map(reader::ParsedField::as_group) {
            let Some(name) = peer.field(&group::peer_settings::NAME) else {
                continue;
            };
            if own_name.is_some() && name.as_text() == own_name {
                self.report(name, "the instance's own name", "names of other instances");
            }
        }
        let has_control = peers
            .iter()
            .filter_map(reader::ParsedField::as_group)
            .any(|peer| peer.boolean(&group::peer_settings::CONTROL) != Some(false));
        let is_control = self.has_role(group::InstanceRole::Control);
        let is_valid = self.root.field(&group::instance_settings::PEERS).is_some();
        if is_valid && !self.roles.is_empty() && !is_control && !has_control {
            self.report_missing(
                self.root.position,
                "peers",
                "the instances of the control group; an instance without the role \"control\" needs at least one",
            );
        }
    }

    fn check_relay(&mut self) {
        let relay = self.root.list(&group::instance_settings::RELAY);
        let peers = self.root.list(&group::instance_settings::PEERS);
        if let (Some(first), true) = (relay.first(), self.has_role(group::InstanceRole::Control)) {
            self.report(
                first,
                "the instance has the role \"control\"",
                "no relay with the role \"control\"",
            );
        }
        for name in relay {
            let known = peers
                .iter()
                .filter_map(reader::ParsedField::as_group)
                .any(|peer| peer.text(&group::peer_settings::NAME) == name.as_text());
            if !known {
                self.report(name, "no such peer", "names of `peers`");
            }
        }
    }

    fn check_times(&mut self) {
        let timing = group::instance_settings::TIMING;
        let retry = group::instance_settings::RETRY;
        let election = self.number(&timing, "election_timeout_ms");
        let heartbeat = self.number(&timing, "heartbeat_ms");
        if let (Some((_, election)), Some((field, heartbeat))) = (election, heartbeat)
            && heartbeat > election / 2
        {
            let found = format!("{heartbeat} with `timing.election_timeout_ms` {election}");
            self.report(
                field,
                &found,
                "at most half of `timing.election_timeout_ms`",
            );
        }
        let min = self.number(&retry, "backoff_min_ms");
        let max = self.number(&retry, "backoff_max_ms");
        if let (Some((_, min)), Some((field, max))) = (min, max)
            && max < min
        {
            let found = format!("{max} with `retry.backoff_min_ms` {min}");
            self.report(field, &found, "at least `retry.backoff_min_ms`");
        }
    }

    fn check_fencing(&mut self) {
        for rule in self.root.list(&group::instance_settings::FENCING) {
            let Some(group) = rule.as_group() else {
                continue;
            };
            let prefix = group.field(&group::fencing_rule::SERVER_PREFIX);
            let centre = group.field(&group::fencing_rule::DATA_CENTRE);
            if prefix.is_none() && centre.is_none() {
                self.report(
                    rule,
                    "the rule matches every backend server",
                    "a `server_prefix`, a `data_centre` or both",
                );
            }
        }
    }

    /// Reports list elements whose value of `field` equals that of an earlier element.
    fn check_distinct(
        &mut self,
        elements: &[reader::ParsedField],
        field: &description::FieldDescription,
    ) {
        let values: Vec<_> = elements
            .iter()
            .filter_map(|element| element.as_group()?.field(field))
            .collect();
        for (index, value) in values.iter().enumerate() {
            if let Some(earlier) = values[..index]
                .iter()
                .find(|earlier| earlier.value == value.value)
            {
                let found = format!("the same value as `{}`", earlier.path);
                self.report(value, &found, "a unique value");
            }
        }
    }

    fn has_role(&self, role: group::InstanceRole) -> bool {
        self.roles.contains(&role)
    }

    fn number(
        &self,
        group: &description::FieldDescription,
        name: &str,
    ) -> Option<(&'a reader::ParsedField, u64)> {
        let description::ValueKind::Group(description) = group.kind else {
            return None;
        };
        let field = description.field(name)?;
        let group = self.root.group(group)?;
        Some((group.field(field)?, group.number(field)?))
    }

    fn report(&mut self, field: &reader::ParsedField, found: &str, allowed: &str) {
        let problem = error::SettingsProblem::new(
            error::ProblemKind::Inconsistency,
            field.position,
            field.path.clone(),
        );
        self.problems.push(problem.found(found).allowed(allowed));
    }

    fn report_missing(&mut self, position: error::TextPosition, path: &str, allowed: &str) {
        let problem = error::SettingsProblem::new(error::ProblemKind::MissingField, position, path);
        self.problems.push(problem.allowed(allowed));
    }
}
