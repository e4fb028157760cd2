//! Validation of declarations: each error names the parts concerned.

use std::time;

use crate::fixture;

fn check_error(
    change: impl FnOnce(&mut galenahold_domain::declaration::FleetDeclaration),
) -> String {
    let mut declaration = fixture::valid();
    change(&mut declaration);
    declaration
        .check()
        .expect_err("the changed declaration is invalid")
        .to_string()
}

#[test]
fn valid_declaration_passes_the_check() {
    fixture::valid().check().expect("the declaration is valid");
}

#[test]
fn route_to_an_undeclared_service_is_rejected() {
    let error =
        check_error(|declaration| declaration.routes[0].shares = vec![fixture::share("none", 1)]);
    assert_eq!(error, r#"route "orders": service "none" is not declared"#);
}

#[test]
fn routes_with_equal_host_and_path_prefix_are_rejected() {
    let error = check_error(|declaration| {
        let twin = fixture::route("twin", "desk.example", "/orders/");
        declaration.routes.push(twin);
    });
    assert_eq!(
        error,
        r#"routes "orders" and "twin" both serve host "desk.example" under "/orders/""#
    );
}

#[test]
fn weights_that_add_up_to_zero_are_rejected() {
    let error =
        check_error(|declaration| declaration.routes[0].shares = vec![fixture::share("desk", 0)]);
    assert_eq!(
        error,
        r#"route "orders": the weights of its services add up to 0"#
    );
}

#[test]
fn zero_timeout_is_rejected() {
    let error = check_error(|declaration| declaration.routes[0].timeout = time::Duration::ZERO);
    assert_eq!(error, r#"route "orders": its timeout is 0"#);
}

#[test]
fn key_shared_by_two_teams_is_rejected() {
    let error = check_error(|declaration| declaration.teams[1] = fixture::team("red", &["key-1"]));
    assert_eq!(error, r#"teams "blue" and "red" share a key"#);
}

#[test]
fn service_declared_twice_is_rejected() {
    let error = check_error(|declaration| declaration.services.push(fixture::service("desk")));
    assert_eq!(error, r#"service "desk" is declared twice"#);
}

#[test]
fn debug_output_does_not_contain_keys() {
    let output = format!("{:?}", fixture::valid());
    assert!(!output.contains("key-1"), "{output}");
}
