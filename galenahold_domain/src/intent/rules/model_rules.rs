//! Validation rules for models and their adapters.

use std::collections;

use crate::amount;
use crate::intent;
use crate::intent::rules;

/// The names of models and adapters seen so far; callers use either in the field `model`.
type SeenNames<'a> = collections::HashSet<&'a str>;

/// Adds the problems of the models and adapters.
pub(crate) fn check_models(
    problems: &mut rules::ProblemList,
    wanted: &intent::FleetIntent,
    largest_engine: Option<amount::ByteCount>,
) {
    let mut seen = SeenNames::new();
    for (position, model) in wanted.models.iter().enumerate() {
        let path = format!("models[{position}]");
        check_unique_name(problems, &format!("{path}.name"), &model.name, &mut seen);
        rules::check_name(problems, &format!("{path}.version"), &model.version);
        check_amounts(problems, &path, model);
        if let Some(memory) = largest_engine {
            check_memory(problems, &path, model, memory);
        }
    }
    for (position, model) in wanted.models.iter().enumerate() {
        check_adapters(problems, &format!("models[{position}]"), model, &mut seen);
    }
}

fn check_adapters<'a>(
    problems: &mut rules::ProblemList,
    path: &str,
    model: &'a intent::ModelIntent,
    seen: &mut SeenNames<'a>,
) {
    for (position, adapter) in model.adapters.iter().enumerate() {
        let path = format!("{path}.adapters[{position}]");
        check_unique_name(problems, &format!("{path}.name"), &adapter.name, seen);
        problems.check_nonzero(&format!("{path}.bytes"), adapter.bytes.0);
    }
}

/// Checks a name's form, and that no model or adapter before it has the same name.
fn check_unique_name<'a>(
    problems: &mut rules::ProblemList,
    field: &str,
    name: &'a str,
    seen: &mut SeenNames<'a>,
) {
    rules::check_name(problems, field, name);
    if !seen.insert(name) {
        problems.push_text(field, name, "must be unique among models and adapters");
    }
}

fn check_amounts(problems: &mut rules::ProblemList, path: &str, model: &intent::ModelIntent) {
    problems.check_nonzero(&format!("{path}.bytes"), model.bytes.0);
    problems.check_nonzero(
        &format!("{path}.max_request_tokens"),
        model.max_request_tokens.0,
    );
    problems.check_nonzero(
        &format!("{path}.replica_concurrency"),
        model.replica_concurrency.into(),
    );
    if model.min_replicas > model.max_replicas {
        let requirement = format!("must be {} or less, max_replicas", model.max_replicas);
        problems.push(
            &format!("{path}.min_replicas"),
            model.min_replicas,
            &requirement,
        );
    }
}

/// Adds a problem if a model does not fit into an engine's memory together with its largest adapter.
fn check_memory(
    problems: &mut rules::ProblemList,
    path: &str,
    model: &intent::ModelIntent,
    memory: amount::ByteCount,
) {
    let adapters = model.adapters.iter().map(|adapter| adapter.bytes);
    let largest = adapters.max().unwrap_or(amount::ByteCount::ZERO);
    let needed = model.bytes.saturating_add(largest);
    if needed <= memory {
        return;
    }
    let requirement = format!(
        "must fit with its largest adapter of {largest} bytes into the largest engine of {memory} bytes"
    );
    problems.push(&format!("{path}.bytes"), model.bytes, &requirement);
}
