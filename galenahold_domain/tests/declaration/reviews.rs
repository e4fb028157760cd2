//! Reviews of declarations before they are sent: each finding has a severity and a place.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::declaration;
use galenahold_domain::declaration::{DeclaredField, DeclaredPart, FindingSeverity};
use galenahold_domain::name;

use crate::fixture;

const ROUTE: DeclaredPart = DeclaredPart::Route(0);
const MODEL: DeclaredPart = DeclaredPart::Model {
    service: 0,
    model: 0,
};

#[test]
fn declaration_without_a_problem_has_no_findings() {
    assert_eq!(review(|_| {}), []);
}

#[test]
fn all_errors_are_reported_with_their_places() {
    let findings = review(|declaration| {
        let mut twin = declaration.routes[0].clone();
        twin.timeout = time::Duration::ZERO;
        declaration.routes.push(twin);
        declaration.teams[1].secrets = declaration.teams[0].secrets.clone();
        let copy = declaration.services[1].clone();
        declaration.services.push(copy);
    });
    let errors: Vec<_> = findings
        .into_iter()
        .filter(|(severity, ..)| *severity == FindingSeverity::Error)
        .map(|(_, part, field)| (part, field))
        .collect();
    let expected = [
        (DeclaredPart::Service(2), DeclaredField::Name),
        (DeclaredPart::Route(1), DeclaredField::Timeout),
        (DeclaredPart::Route(1), DeclaredField::PathPrefix),
        (DeclaredPart::Team(1), DeclaredField::Keys),
    ];
    assert_eq!(errors, expected);
}

#[test]
fn parts_of_routes_that_cannot_work_are_warned_of() {
    let share = DeclaredPart::Share { route: 0, share: 1 };
    assert_warning(share, DeclaredField::Weight, |declaration| {
        declaration.routes[0].shares[1].weight = 0;
        let route = fixture::route("other", "desk.example", "/other/");
        let shares = vec![fixture::share("records", 1)];
        declaration
            .routes
            .push(declaration::DeclaredRoute { shares, ..route });
    });
    assert_warning(ROUTE, DeclaredField::PathPrefix, |declaration| {
        declaration.routes[0].path_prefix = "/orders/?all/".into();
    });
    assert_warning(ROUTE, DeclaredField::Objective, |declaration| {
        declaration.routes[0].objective = declaration.routes[0].timeout * 2;
    });
    assert_warning(ROUTE, DeclaredField::EventGap, |declaration| {
        declaration.routes[0].event_gap = Some(time::Duration::from_millis(300));
    });
    assert_warning(
        DeclaredPart::Service(1),
        DeclaredField::Name,
        |declaration| {
            declaration.routes[0].shares.truncate(1);
        },
    );
}

#[test]
fn allowed_pause_below_the_steps_of_an_event_is_warned_of() {
    // 5 tokens an event and 10 ms a step.
    let pause = |pause_ms| {
        review(|declaration| {
            declaration.routes[0].kind = declaration::CallKind::Stream;
            declaration.routes[0].event_gap = Some(time::Duration::from_millis(pause_ms));
        })
    };
    assert_eq!(pause(50), []);
    let expected = (FindingSeverity::Warning, ROUTE, DeclaredField::EventGap);
    assert_eq!(pause(49), [expected]);
}

#[test]
fn models_that_no_engine_can_hold_are_warned_of() {
    assert_warning(MODEL, DeclaredField::Weights, |declaration| {
        engine(declaration).models[0].weights = amount::ByteCount(101);
    });
    assert_warning(MODEL, DeclaredField::AdapterMemory, |declaration| {
        engine(declaration).models[0].adapter = amount::ByteCount(31);
    });
    assert_warning(MODEL, DeclaredField::Adapters, |declaration| {
        engine(declaration).adapter_slots = 1;
    });
    assert_warning(
        DeclaredPart::Engine(0),
        DeclaredField::Slots,
        |declaration| {
            engine(declaration).slots = 0;
        },
    );
}

#[test]
fn burst_below_the_charge_of_a_call_is_warned_of() {
    assert_warning(DeclaredPart::Team(0), DeclaredField::Burst, |declaration| {
        let team = &mut declaration.teams[0];
        team.rate_per_s = 1_000;
        team.burst = 499;
        let unstated = amount::TokenCount(500);
        team.charge = declaration::TeamCharge::Tokens { unstated };
    });
    assert_warning(DeclaredPart::Team(0), DeclaredField::Keys, |declaration| {
        declaration.teams[0].secrets.clear();
    });
}

#[test]
fn number_that_does_not_replace_the_one_in_force_is_an_error() {
    let in_force = reviewed();
    let mut changed = reviewed();
    changed.routes[0].priority = 3;
    let findings = |declaration: &declaration::FleetDeclaration| {
        let review = declaration::DeclarationReview::new(declaration, None);
        review.with_in_force(&in_force).findings().len()
    };
    assert_eq!(findings(&in_force), 0);
    assert_eq!(findings(&changed), 1);
    changed.number += 1;
    assert_eq!(findings(&changed), 0);
}

#[test]
fn differences_name_parts_and_fields_and_show_no_keys() {
    let before = reviewed();
    let mut after = reviewed();
    after.routes[0].objective = time::Duration::from_millis(80);
    after
        .routes
        .push(fixture::route("new", "desk.example", "/new/"));
    after.services[1].name = name::ServiceName::from("archive");
    engine(&mut after).models[0].weights = amount::ByteCount(60);
    after.teams[0].secrets = vec![declaration::CallerSecret::from("hidden")];
    let differences = declaration::declaration_differences(&before, &after);
    let texts: Vec<String> = differences
        .iter()
        .map(|difference| format!("{:?}", (&difference.part, &difference.kind)))
        .collect();
    let expected = [
        r#"(Route("orders"), Changed { field: Objective, before: "100ms", after: "80ms" })"#,
        r#"(Route("new"), Added)"#,
        r#"(Model { service: "desk", model: "writer" }, Changed { field: Weights, before: "70", after: "60" })"#,
        r#"(Service("records"), Removed)"#,
        r#"(Service("archive"), Added)"#,
        r#"(Team("blue"), Changed { field: Keys, before: "1 keys", after: "1 keys, 0 of them kept" })"#,
    ];
    assert_eq!(texts, expected);
}

fn assert_warning(
    part: DeclaredPart,
    field: DeclaredField,
    change: impl FnOnce(&mut declaration::FleetDeclaration),
) {
    assert_eq!(review(change), [(FindingSeverity::Warning, part, field)]);
}

fn review(
    change: impl FnOnce(&mut declaration::FleetDeclaration),
) -> Vec<(FindingSeverity, DeclaredPart, DeclaredField)> {
    let mut declaration = reviewed();
    change(&mut declaration);
    let step = time::Duration::from_millis(10);
    let findings = declaration::DeclarationReview::new(&declaration, Some(step)).findings();
    findings
        .into_iter()
        .map(|finding| {
            let field = finding.place.field.expect("a field");
            (finding.severity, finding.place.part, field)
        })
        .collect()
}

/// A declaration with an engine and a route to both services.
fn reviewed() -> declaration::FleetDeclaration {
    let mut declaration = fixture::valid();
    let shares = vec![fixture::share("desk", 3), fixture::share("records", 1)];
    declaration.routes[0].shares = shares;
    declaration.services[0].engine = Some(declaration::DeclaredEngine {
        slots: 4,
        cache_tokens: amount::TokenCount(1_000),
        weight_memory: amount::ByteCount(100),
        adapter_slots: 2,
        store_loads_per_s: 1.0,
        tokens_per_event: 5,
        models: vec![declaration::DeclaredModel {
            name: name::ModelName::from("writer"),
            weights: amount::ByteCount(70),
            adapter: amount::ByteCount(10),
            adapters: vec![name::AdapterName::from("a1"), name::AdapterName::from("a2")],
            store_load: time::Duration::from_secs(8),
            disk_load: time::Duration::from_secs(2),
            memory_load: time::Duration::from_secs(1),
        }],
    });
    declaration
}

fn engine(declaration: &mut declaration::FleetDeclaration) -> &mut declaration::DeclaredEngine {
    let engine = declaration.services[0].engine.as_mut();
    engine.expect("the service has an engine")
}
