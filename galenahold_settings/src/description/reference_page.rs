//! Generates the reference page of the settings.

use std::fmt;

use crate::description;
use crate::group;

const PREFACE: &str = "\
# Settings of an instance

An instance reads one file in JSON with comments (`galenahold serve --settings FILE`). `galenahold check
--settings FILE` reports all problems of a file at once, each with line and column, and starts nothing.
Addresses are an IP address and a port; host names are not resolved. This page is generated from the
descriptions against which the reader validates files; `docs/settings.example.jsonc` shows every field.
";

/// The reference page of the settings, in Markdown.
///
/// # Examples
///
/// ```
/// let page = galenahold_settings::ReferencePage::new().to_string();
/// assert!(page.contains("`timing.election_timeout_ms`"));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ReferencePage;

impl ReferencePage {
    /// Creates the page.
    #[must_use]
    pub fn new() -> Self {
        Self
    }

    /// Returns the path of every known field, such as `listen.callers` or `peers[].name`.
    #[must_use]
    pub fn field_paths(&self) -> Vec<String> {
        let mut paths = Vec::new();
        collect_paths(&group::InstanceSettings::DESCRIPTION, "", &mut paths);
        paths
    }
}

impl fmt::Display for ReferencePage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(PREFACE)?;
        write_group(
            formatter,
            "The file",
            "",
            &group::InstanceSettings::DESCRIPTION,
        )
    }
}

fn collect_paths(group: &description::GroupDescription, prefix: &str, paths: &mut Vec<String>) {
    for field in group.fields {
        let path = format!("{prefix}{}", field.name);
        paths.push(path.clone());
        if let Some((inner, path_suffix)) = inner_group(field.kind) {
            collect_paths(inner, &format!("{path}{path_suffix}."), paths);
        }
    }
}

/// Returns the group nested in a field and the suffix of its path: `[]` for a list, otherwise empty.
fn inner_group(
    kind: description::ValueKind,
) -> Option<(&'static description::GroupDescription, &'static str)> {
    match kind {
        description::ValueKind::Group(group) => Some((group, "")),
        description::ValueKind::List(description::ValueKind::Group(group)) => Some((group, "[]")),
        _ => None,
    }
}

fn write_group(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    prefix: &str,
    group: &description::GroupDescription,
) -> fmt::Result {
    write!(formatter, "\n## {title}\n\n")?;
    formatter.write_str("| field | value | if left out | meaning |\n|---|---|---|---|\n")?;
    for field in group.fields {
        write_field(formatter, prefix, field)?;
    }
    for field in group.fields {
        if let Some((inner, path_suffix)) = inner_group(field.kind) {
            let path = format!("{prefix}{}{path_suffix}", field.name);
            write_group(formatter, &format!("`{path}`"), &format!("{path}."), inner)?;
        }
    }
    Ok(())
}

fn write_field(
    formatter: &mut fmt::Formatter<'_>,
    prefix: &str,
    field: &description::FieldDescription,
) -> fmt::Result {
    let value = match inner_group(field.kind) {
        Some((_, "")) => String::from("an object, below"),
        Some(_) => String::from("a list of objects, below"),
        None => field.kind.to_string(),
    };
    let absent = match field.requirement {
        description::FieldRequirement::Required => String::from("an error"),
        description::FieldRequirement::Optional => String::from("no value"),
        description::FieldRequirement::Default(value) => format!("`{value}`"),
    };
    let summary = field.summary.trim();
    writeln!(
        formatter,
        "| `{prefix}{}` | {value} | {absent} | {summary} |",
        field.name
    )
}
