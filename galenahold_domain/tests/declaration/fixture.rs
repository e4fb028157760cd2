//! Builders of the parts of a small valid declaration.

use std::sync;
use std::time;

use galenahold_domain::{amount, declaration, name};

pub(crate) fn route(name: &str, host: &str, path_prefix: &str) -> declaration::DeclaredRoute {
    declaration::DeclaredRoute {
        name: name::RouteName::from(name),
        host: sync::Arc::from(host),
        path_prefix: sync::Arc::from(path_prefix),
        kind: declaration::CallKind::Idempotent,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(100),
        event_gap: None,
        priority: 0,
        shares: vec![share("desk", 1)],
        max_attempts: 2,
        open: false,
    }
}

pub(crate) fn share(service: &str, weight: u64) -> declaration::RouteShare {
    declaration::RouteShare {
        service: name::ServiceName::from(service),
        weight,
    }
}

pub(crate) fn service(name: &str) -> declaration::DeclaredService {
    declaration::DeclaredService {
        name: name::ServiceName::from(name),
        health_path: sync::Arc::from("/health"),
        max_connections: 10,
        engine: None,
    }
}

pub(crate) fn team(name: &str, secrets: &[&str]) -> declaration::DeclaredTeam {
    declaration::DeclaredTeam {
        name: name::TeamName::from(name),
        secrets: secrets
            .iter()
            .map(|secret| declaration::CallerSecret::from(*secret))
            .collect(),
        priority: 0,
        rate_per_s: 0,
        burst: 0,
        charge: declaration::TeamCharge::Calls,
    }
}

pub(crate) fn valid() -> declaration::FleetDeclaration {
    declaration::FleetDeclaration {
        number: 1,
        routes: vec![route("orders", "desk.example", "/orders/")],
        services: vec![service("desk"), service("records")],
        teams: vec![team("blue", &["key-1"]), team("red", &["key-2"])],
        limits: declaration::CallerLimits {
            head: amount::ByteCount(1_000),
            body: amount::ByteCount(1_000),
            head_timeout: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(1),
        },
    }
}
