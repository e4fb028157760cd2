//! Routes and teams are found as operators declared them.

use std::collections;

use galenahold_domain::declaration;

use crate::fixture;

fn index() -> declaration::DeclarationIndex {
    let mut declaration = fixture::valid();
    declaration
        .routes
        .push(fixture::route("deep", "desk.example", "/orders/large/"));
    declaration
        .routes
        .push(fixture::route("root", "records.example", "/"));
    declaration::DeclarationIndex::new(declaration)
}

fn found(host: &str, path: &str) -> Option<String> {
    index()
        .route(host, path)
        .map(|route| route.name.to_string())
}

#[test]
fn longest_prefix_of_the_host_takes_the_path() {
    assert_eq!(
        found("desk.example", "/orders/large/7").as_deref(),
        Some("deep")
    );
    assert_eq!(
        found("desk.example", "/orders/large").as_deref(),
        Some("orders")
    );
    assert_eq!(found("desk.example", "/orders/").as_deref(), Some("orders"));
    assert_eq!(
        found("records.example", "/orders/large/7").as_deref(),
        Some("root")
    );
}

#[test]
fn path_that_no_prefix_begins_has_no_route() {
    assert_eq!(found("desk.example", "/orders"), None);
    assert_eq!(found("desk.example", "/other/7"), None);
    assert_eq!(found("other.example", "/orders/7"), None);
}

#[test]
fn key_names_its_team_and_no_other() {
    let index = index();
    let team = |secret| index.team(secret).map(|team| team.name.to_string());
    assert_eq!(team("key-2").as_deref(), Some("red"));
    assert_eq!(team("key-3"), None);
}

#[test]
fn split_follows_the_weights() {
    let mut route = fixture::route("split", "desk.example", "/split/");
    route.shares = vec![
        fixture::share("desk", 3),
        fixture::share("records", 1),
        fixture::share("none", 0),
    ];
    let mut counts = collections::BTreeMap::new();
    for point in 0..400 {
        *counts
            .entry(route.service_at(point).to_string())
            .or_insert(0) += 1;
    }
    let wanted = [("desk".to_owned(), 300), ("records".to_owned(), 100)];
    assert_eq!(counts, collections::BTreeMap::from(wanted));
}
