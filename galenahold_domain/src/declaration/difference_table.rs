//! The comparison of two declarations.

use std::fmt;

use crate::declaration;
use crate::declaration::{DeclaredField, DifferenceKind, DifferingPart, TeamCharge};

/// Returns the differences of a new declaration from the one in force.
#[must_use]
pub fn declaration_differences(
    before: &declaration::FleetDeclaration,
    after: &declaration::FleetDeclaration,
) -> Vec<declaration::DeclarationDifference> {
    let mut table = DifferenceTable::default();
    table.compare(
        &DifferingPart::Whole,
        DeclaredField::Number,
        &before.number,
        &after.number,
    );
    table.match_parts(
        &before.routes,
        &after.routes,
        |route| DifferingPart::Route(route.name.to_string()),
        DifferenceTable::compare_routes,
    );
    table.match_parts(
        &before.services,
        &after.services,
        |service| DifferingPart::Service(service.name.to_string()),
        DifferenceTable::compare_services,
    );
    table.match_parts(
        &before.teams,
        &after.teams,
        |team| DifferingPart::Team(team.name.to_string()),
        DifferenceTable::compare_teams,
    );
    table.compare_limits(&before.limits, &after.limits);
    table.differences
}

#[derive(Default)]
struct DifferenceTable {
    differences: Vec<declaration::DeclarationDifference>,
}

impl DifferenceTable {
    fn push(&mut self, part: DifferingPart, kind: DifferenceKind) {
        self.differences
            .push(declaration::DeclarationDifference { part, kind });
    }

    /// Compares the parts of the same name, and reports those that only one declaration has.
    fn match_parts<Part>(
        &mut self,
        before: &[Part],
        after: &[Part],
        identify: impl Fn(&Part) -> DifferingPart,
        compare: impl Fn(&mut Self, &DifferingPart, &Part, &Part),
    ) {
        for old in before {
            let part = identify(old);
            match after.iter().find(|new| identify(new) == part) {
                Some(new) => compare(self, &part, old, new),
                None => self.push(part, DifferenceKind::Removed),
            }
        }
        for new in after {
            let part = identify(new);
            if !before.iter().any(|old| identify(old) == part) {
                self.push(part, DifferenceKind::Added);
            }
        }
    }

    fn compare<Value: PartialEq + fmt::Debug>(
        &mut self,
        part: &DifferingPart,
        field: DeclaredField,
        before: &Value,
        after: &Value,
    ) {
        if before != after {
            let texts = (format!("{before:?}"), format!("{after:?}"));
            self.compare_texts(part, field, texts.0, texts.1);
        }
    }

    fn compare_texts(
        &mut self,
        part: &DifferingPart,
        field: DeclaredField,
        before: String,
        after: String,
    ) {
        if before != after {
            let kind = DifferenceKind::Changed {
                field,
                before,
                after,
            };
            self.push(part.clone(), kind);
        }
    }

    fn compare_routes(
        &mut self,
        part: &DifferingPart,
        before: &declaration::DeclaredRoute,
        after: &declaration::DeclaredRoute,
    ) {
        let gap = |route: &declaration::DeclaredRoute| {
            let gap = route.event_gap;
            gap.map_or_else(|| "none".to_owned(), |gap| format!("{gap:?}"))
        };
        let shares = |route: &declaration::DeclaredRoute| {
            let shares = route.shares.iter();
            let texts = shares.map(|share| format!("{} {}", share.service, share.weight));
            texts.collect::<Vec<_>>().join(", ")
        };
        self.compare(part, DeclaredField::Host, &before.host, &after.host);
        self.compare(
            part,
            DeclaredField::PathPrefix,
            &before.path_prefix,
            &after.path_prefix,
        );
        self.compare(part, DeclaredField::Kind, &before.kind, &after.kind);
        self.compare(
            part,
            DeclaredField::Timeout,
            &before.timeout,
            &after.timeout,
        );
        self.compare(
            part,
            DeclaredField::Objective,
            &before.objective,
            &after.objective,
        );
        self.compare_texts(part, DeclaredField::EventGap, gap(before), gap(after));
        self.compare(
            part,
            DeclaredField::Priority,
            &before.priority,
            &after.priority,
        );
        self.compare_texts(part, DeclaredField::Shares, shares(before), shares(after));
        self.compare(
            part,
            DeclaredField::MaxAttempts,
            &before.max_attempts,
            &after.max_attempts,
        );
        self.compare(part, DeclaredField::Open, &before.open, &after.open);
    }

    fn compare_services(
        &mut self,
        part: &DifferingPart,
        before: &declaration::DeclaredService,
        after: &declaration::DeclaredService,
    ) {
        self.compare(
            part,
            DeclaredField::HealthPath,
            &before.health_path,
            &after.health_path,
        );
        let connections = (&before.max_connections, &after.max_connections);
        self.compare(
            part,
            DeclaredField::MaxConnections,
            connections.0,
            connections.1,
        );
        if let (Some(old), Some(new)) = (&before.engine, &after.engine) {
            self.compare_engines(part, after.name.as_str(), old, new);
        } else {
            let engines = (before.engine.is_some(), after.engine.is_some());
            self.compare(part, DeclaredField::Engine, &engines.0, &engines.1);
        }
    }

    fn compare_engines(
        &mut self,
        part: &DifferingPart,
        service: &str,
        before: &declaration::DeclaredEngine,
        after: &declaration::DeclaredEngine,
    ) {
        let memories = (before.weight_memory.0, after.weight_memory.0);
        let caches = (before.cache_tokens.0, after.cache_tokens.0);
        let loads = (before.store_loads_per_s, after.store_loads_per_s);
        let events = (before.tokens_per_event, after.tokens_per_event);
        self.compare(part, DeclaredField::Slots, &before.slots, &after.slots);
        self.compare(part, DeclaredField::CacheTokens, &caches.0, &caches.1);
        self.compare(part, DeclaredField::WeightMemory, &memories.0, &memories.1);
        self.compare(
            part,
            DeclaredField::AdapterSlots,
            &before.adapter_slots,
            &after.adapter_slots,
        );
        self.compare(part, DeclaredField::StoreLoads, &loads.0, &loads.1);
        self.compare(part, DeclaredField::TokensPerEvent, &events.0, &events.1);
        self.match_parts(
            &before.models,
            &after.models,
            |model| DifferingPart::Model {
                service: service.to_owned(),
                model: model.name.to_string(),
            },
            Self::compare_models,
        );
    }

    fn compare_models(
        &mut self,
        part: &DifferingPart,
        before: &declaration::DeclaredModel,
        after: &declaration::DeclaredModel,
    ) {
        let counts = (before.adapters.len(), after.adapters.len());
        self.compare(
            part,
            DeclaredField::Weights,
            &before.weights.0,
            &after.weights.0,
        );
        self.compare(
            part,
            DeclaredField::AdapterMemory,
            &before.adapter.0,
            &after.adapter.0,
        );
        self.compare(part, DeclaredField::Adapters, &counts.0, &counts.1);
        self.compare(
            part,
            DeclaredField::StoreLoad,
            &before.store_load,
            &after.store_load,
        );
        self.compare(
            part,
            DeclaredField::DiskLoad,
            &before.disk_load,
            &after.disk_load,
        );
        self.compare(
            part,
            DeclaredField::MemoryLoad,
            &before.memory_load,
            &after.memory_load,
        );
    }

    fn compare_teams(
        &mut self,
        part: &DifferingPart,
        before: &declaration::DeclaredTeam,
        after: &declaration::DeclaredTeam,
    ) {
        if before.secrets != after.secrets {
            let shared = after
                .secrets
                .iter()
                .filter(|key| before.secrets.contains(key));
            let kind = DifferenceKind::Changed {
                field: DeclaredField::Keys,
                before: format!("{} keys", before.secrets.len()),
                after: format!(
                    "{} keys, {} of them kept",
                    after.secrets.len(),
                    shared.count()
                ),
            };
            self.push(part.clone(), kind);
        }
        let unit = |team: &declaration::DeclaredTeam| match team.charge {
            TeamCharge::Calls => "calls".to_owned(),
            TeamCharge::Tokens { unstated } => format!("tokens, {} if none are stated", unstated.0),
        };
        self.compare(
            part,
            DeclaredField::Priority,
            &before.priority,
            &after.priority,
        );
        self.compare(
            part,
            DeclaredField::Rate,
            &before.rate_per_s,
            &after.rate_per_s,
        );
        self.compare(part, DeclaredField::Burst, &before.burst, &after.burst);
        self.compare_texts(part, DeclaredField::Charge, unit(before), unit(after));
    }

    fn compare_limits(
        &mut self,
        before: &declaration::CallerLimits,
        after: &declaration::CallerLimits,
    ) {
        let part = &DifferingPart::Limits;
        self.compare(part, DeclaredField::HeadSize, &before.head.0, &after.head.0);
        self.compare(part, DeclaredField::BodySize, &before.body.0, &after.body.0);
        self.compare(
            part,
            DeclaredField::HeadTimeout,
            &before.head_timeout,
            &after.head_timeout,
        );
        self.compare(
            part,
            DeclaredField::IdleTimeout,
            &before.idle_timeout,
            &after.idle_timeout,
        );
    }
}
