//! The committed documentation matches the settings schema.

use std::fs;
use std::path;

use galenahold_settings::ReferencePage;

fn docs(name: &str) -> path::PathBuf {
    path::Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../docs")).join(name)
}

/// Regenerates the page if `UPDATE_EXPECT` is set, as expect-test does.
#[test]
fn reference_page_agrees_with_reader() {
    let generated = ReferencePage::new().to_string();
    expect_test::expect_file![docs("operators/settings.md")].assert_eq(&generated);
}

#[test]
fn example_file_shows_every_field() {
    let text = fs::read_to_string(docs("settings.example.jsonc")).unwrap();
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default()).unwrap();
    let missing: Vec<_> = ReferencePage::new()
        .field_paths()
        .into_iter()
        .filter(|path| !holds(&value, path))
        .collect();
    assert_eq!(missing, Vec::<String>::new());
}

/// Returns whether a path such as `peers[].name` exists, in any element of a list.
fn holds(value: &serde_json::Value, path: &str) -> bool {
    let (first, rest) = path.split_once('.').unwrap_or((path, ""));
    let Some(inner) = value.get(first.trim_end_matches("[]")) else {
        return false;
    };
    match inner {
        _ if rest.is_empty() => true,
        serde_json::Value::Array(elements) => elements.iter().any(|element| holds(element, rest)),
        _ => holds(inner, rest),
    }
}
