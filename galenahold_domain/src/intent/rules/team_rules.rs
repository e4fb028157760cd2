//! Validation rules for teams.

use std::collections;

use crate::amount;
use crate::intent;
use crate::intent::rules;

/// The largest request that a team may send, and the model or plain service that allows it.
#[derive(Debug, Clone, Copy)]
struct LargestRequest<'a> {
    tokens: amount::TokenCount,
    source: &'a str,
}

/// The largest request of each team, by the team's name.
type LargestRequests<'a> = collections::HashMap<&'a str, LargestRequest<'a>>;

/// Adds the problems of the teams.
pub(crate) fn check_teams(problems: &mut rules::ProblemList, wanted: &intent::FleetIntent) {
    let largest = largest_requests(wanted);
    let mut seen = collections::HashSet::new();
    for (position, team) in wanted.teams.iter().enumerate() {
        let path = format!("teams[{position}]");
        let field = format!("{path}.name");
        rules::check_name(problems, &field, &team.name);
        if !seen.insert(team.name.as_str()) {
            problems.push_text(&field, &team.name, "must not name a team twice");
        }
        check_amounts(problems, &path, team);
        if let Some(request) = largest.get(team.name.as_str()) {
            check_burst(problems, &path, team, *request);
        }
    }
}

fn check_amounts(problems: &mut rules::ProblemList, path: &str, team: &intent::TeamIntent) {
    problems.check_nonzero(
        &format!("{path}.rate_tokens_per_s"),
        team.rate_tokens_per_s.0,
    );
    problems.check_nonzero(&format!("{path}.burst_tokens"), team.burst_tokens.0);
    problems.check_nonzero(&format!("{path}.weight"), team.weight.into());
}

/// Adds a problem if a team's burst is smaller than its largest request, which could then never be
/// admitted.
fn check_burst(
    problems: &mut rules::ProblemList,
    path: &str,
    team: &intent::TeamIntent,
    request: LargestRequest<'_>,
) {
    if team.burst_tokens >= request.tokens {
        return;
    }
    let requirement = format!(
        "must be {} or more, the largest request of `{}`",
        request.tokens, request.source
    );
    problems.push(
        &format!("{path}.burst_tokens"),
        team.burst_tokens,
        &requirement,
    );
}

/// Returns the largest request of each team over all services that the team may call.
fn largest_requests(wanted: &intent::FleetIntent) -> LargestRequests<'_> {
    let models: collections::HashMap<&str, &intent::ModelIntent> = wanted
        .models
        .iter()
        .map(|model| (model.name.as_str(), model))
        .collect();
    let mut largest = LargestRequests::new();
    for service in &wanted.services {
        let Some(request) = largest_request_of_service(service, &models) else {
            continue;
        };
        for team in &service.teams {
            let known = largest.entry(team.as_str()).or_insert(request);
            if known.tokens < request.tokens {
                *known = request;
            }
        }
    }
    largest
}

/// Returns the largest request that a service accepts.
fn largest_request_of_service<'a>(
    service: &'a intent::ServiceIntent,
    models: &collections::HashMap<&str, &'a intent::ModelIntent>,
) -> Option<LargestRequest<'a>> {
    match &service.route {
        intent::RouteKind::Models { models: offered } => offered
            .iter()
            .filter_map(|name| models.get(name.as_str()))
            .map(|model| LargestRequest {
                tokens: model.max_request_tokens,
                source: &model.name,
            })
            .max_by_key(|request| request.tokens),
        intent::RouteKind::Plain { call_tokens, .. } => Some(LargestRequest {
            tokens: amount::TokenCount(*call_tokens),
            source: &service.name,
        }),
    }
}
