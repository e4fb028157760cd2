//! Validation rules for services.

use std::collections;

use crate::intent;
use crate::intent::rules;
use crate::name;

const PER_MILLION: u32 = 1_000_000;

/// The names of teams and models that services may refer to, and the service names and path prefixes
/// seen so far.
struct ServiceNames<'a> {
    teams: collections::HashSet<&'a str>,
    models: collections::HashSet<&'a str>,
    services: collections::HashSet<&'a str>,
    prefixes: collections::HashSet<&'a str>,
}

/// Adds the problems of the services.
pub(crate) fn check_services(problems: &mut rules::ProblemList, wanted: &intent::FleetIntent) {
    let mut names = ServiceNames {
        teams: wanted.teams.iter().map(|team| &*team.name).collect(),
        models: wanted.models.iter().map(|model| &*model.name).collect(),
        services: collections::HashSet::new(),
        prefixes: collections::HashSet::new(),
    };
    for (position, service) in wanted.services.iter().enumerate() {
        let path = format!("services[{position}]");
        check_service(problems, &path, service, &mut names);
    }
}

fn check_service<'a>(
    problems: &mut rules::ProblemList,
    path: &str,
    service: &'a intent::ServiceIntent,
    names: &mut ServiceNames<'a>,
) {
    let field = format!("{path}.name");
    rules::check_name(problems, &field, &service.name);
    if !names.services.insert(&service.name) {
        problems.push_text(&field, &service.name, "must not name a service twice");
    }
    match &service.route {
        intent::RouteKind::Models { models } => check_offered_models(problems, path, models, names),
        intent::RouteKind::Plain {
            path_prefix,
            idempotent_methods,
            ..
        } => {
            check_path_prefix(problems, path, path_prefix, names);
            check_methods(problems, path, idempotent_methods);
        }
    }
    check_teams(problems, path, service, names);
    check_open(problems, path, service);
    problems.check_nonzero(&format!("{path}.deadline_ms"), service.deadline_ms);
    check_objective(problems, path, &service.objective);
}

fn check_offered_models(
    problems: &mut rules::ProblemList,
    path: &str,
    models: &[name::ModelName],
    names: &ServiceNames<'_>,
) {
    if models.is_empty() {
        problems.push(&format!("{path}.models"), "[]", "must name a model");
    }
    let mut seen = collections::HashSet::new();
    for (position, model) in models.iter().enumerate() {
        let field = format!("{path}.models[{position}]");
        if !names.models.contains(model.as_str()) {
            problems.push_text(&field, model, "must be a model of this intent");
        }
        if !seen.insert(model) {
            problems.push_text(&field, model, "must not name a model twice");
        }
    }
}

fn check_path_prefix<'a>(
    problems: &mut rules::ProblemList,
    path: &str,
    prefix: &'a str,
    names: &mut ServiceNames<'a>,
) {
    let field = format!("{path}.path_prefix");
    if let Some(requirement) = rules::path_problem(prefix) {
        problems.push_text(&field, prefix, requirement);
    }
    if !names.prefixes.insert(prefix) {
        problems.push_text(&field, prefix, "must not be the prefix of another service");
    }
}

fn check_methods(problems: &mut rules::ProblemList, path: &str, methods: &[String]) {
    for (position, method) in methods.iter().enumerate() {
        let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_method {
            problems.push_text(
                &format!("{path}.idempotent_methods[{position}]"),
                method,
                "must be a method in capital letters",
            );
        }
    }
}

fn check_teams(
    problems: &mut rules::ProblemList,
    path: &str,
    service: &intent::ServiceIntent,
    names: &ServiceNames<'_>,
) {
    let mut seen = collections::HashSet::new();
    for (position, team) in service.teams.iter().enumerate() {
        let field = format!("{path}.teams[{position}]");
        if !names.teams.contains(team.as_str()) {
            problems.push_text(&field, team, "must be a team of this intent");
        }
        if !seen.insert(team) {
            problems.push_text(&field, team, "must not name a team twice");
        }
    }
}

/// Adds the problems of an open service, which may be called without a key: there is no team to
/// whose rate such calls could be charged.
fn check_open(problems: &mut rules::ProblemList, path: &str, service: &intent::ServiceIntent) {
    if !service.open {
        return;
    }
    if !service.teams.is_empty() {
        problems.push(
            &format!("{path}.teams"),
            format!("{} named", service.teams.len()),
            "must be empty while `open` is true, since all may call",
        );
    }
    match &service.route {
        intent::RouteKind::Models { .. } => problems.push(
            &format!("{path}.open"),
            "true",
            "must be false for models, whose tokens are charged to a team",
        ),
        intent::RouteKind::Plain { call_tokens, .. } if *call_tokens > 0 => problems.push(
            &format!("{path}.call_tokens"),
            call_tokens,
            "must be 0 while `open` is true, since there is no team to charge",
        ),
        intent::RouteKind::Plain { .. } => {}
    }
}

fn check_objective(
    problems: &mut rules::ProblemList,
    path: &str,
    objective: &intent::ServiceObjective,
) {
    let path = format!("{path}.objective");
    problems.check_nonzero(&format!("{path}.first_token_ms"), objective.first_token_ms);
    problems.check_nonzero(
        &format!("{path}.between_tokens_ms"),
        objective.between_tokens_ms,
    );
    check_per_million(
        problems,
        &format!("{path}.latency_target_per_million"),
        objective.latency_target_per_million,
    );
    check_per_million(
        problems,
        &format!("{path}.availability_per_million"),
        objective.availability_per_million,
    );
}

fn check_per_million(problems: &mut rules::ProblemList, field: &str, value: u32) {
    if !(1..=PER_MILLION).contains(&value) {
        problems.push(field, value, "must be from 1 to 1000000");
    }
}
