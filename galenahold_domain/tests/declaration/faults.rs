//! An invalid declaration is refused with the names of what is wrong.

use std::time;

use crate::fixture;

fn fault(change: impl FnOnce(&mut galenahold_domain::declaration::FleetDeclaration)) -> String {
    let mut declaration = fixture::valid();
    change(&mut declaration);
    declaration.check().expect_err("it is invalid").to_string()
}

#[test]
fn valid_declaration_has_no_fault() {
    fixture::valid().check().expect("it is valid");
}

#[test]
fn route_to_an_unknown_service_is_a_fault() {
    let fault = fault(|declaration| declaration.routes[0].shares = vec![fixture::share("none", 1)]);
    assert_eq!(fault, r#"route "orders": service "none" is not declared"#);
}

#[test]
fn routes_at_the_same_place_are_a_fault() {
    let fault = fault(|declaration| {
        let twin = fixture::route("twin", "desk.example", "/orders/");
        declaration.routes.push(twin);
    });
    assert_eq!(
        fault,
        r#"routes "orders" and "twin" both serve host "desk.example" under "/orders/""#
    );
}

#[test]
fn weights_that_add_up_to_nothing_are_a_fault() {
    let fault = fault(|declaration| declaration.routes[0].shares = vec![fixture::share("desk", 0)]);
    assert_eq!(
        fault,
        r#"route "orders": the weights of its services add up to 0"#
    );
}

#[test]
fn timeout_of_nothing_is_a_fault() {
    let fault = fault(|declaration| declaration.routes[0].timeout = time::Duration::ZERO);
    assert_eq!(fault, r#"route "orders": its timeout is 0"#);
}

#[test]
fn key_of_two_teams_is_a_fault() {
    let fault = fault(|declaration| declaration.teams[1] = fixture::team("red", &["key-1"]));
    assert_eq!(fault, r#"teams "blue" and "red" share a key"#);
}

#[test]
fn service_that_stands_twice_is_a_fault() {
    let fault = fault(|declaration| declaration.services.push(fixture::service("desk")));
    assert_eq!(fault, r#"service "desk" is declared twice"#);
}

#[test]
fn debug_form_never_shows_a_key() {
    let shown = format!("{:?}", fixture::valid());
    assert!(!shown.contains("key-1"), "{shown}");
}
