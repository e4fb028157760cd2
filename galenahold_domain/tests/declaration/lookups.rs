//! Lookups of routes and teams in a declaration, and the weighted choice of a service.

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

fn route_name(host: &str, path: &str) -> Option<String> {
    index()
        .route(host, path)
        .map(|route| route.name.to_string())
}

#[test]
fn path_matches_the_longest_prefix_of_its_host() {
    assert_eq!(
        route_name("desk.example", "/orders/large/7").as_deref(),
        Some("deep")
    );
    assert_eq!(
        route_name("desk.example", "/orders/large").as_deref(),
        Some("orders")
    );
    assert_eq!(
        route_name("desk.example", "/orders/").as_deref(),
        Some("orders")
    );
    assert_eq!(
        route_name("records.example", "/orders/large/7").as_deref(),
        Some("root")
    );
}

#[test]
fn path_without_a_matching_prefix_has_no_route() {
    assert_eq!(route_name("desk.example", "/orders"), None);
    assert_eq!(route_name("desk.example", "/other/7"), None);
    assert_eq!(route_name("other.example", "/orders/7"), None);
}

#[test]
fn team_is_found_only_by_its_own_key() {
    let index = index();
    let team = |secret| index.team(secret).map(|team| team.name.to_string());
    assert_eq!(team("key-2").as_deref(), Some("red"));
    assert_eq!(team("key-3"), None);
}

#[test]
fn calls_are_split_by_the_weights() {
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
    let expected = [("desk".to_owned(), 300), ("records".to_owned(), 100)];
    assert_eq!(counts, collections::BTreeMap::from(expected));
}
