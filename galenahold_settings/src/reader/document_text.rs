//! Parses documents in JSON with comments.

use serde::de;

use crate::error;

/// Deserializes a document, such as an intent, from JSON with comments and trailing commas.
///
/// # Errors
///
/// Returns the first problem. Its position is that of the value or, for an unknown or missing field, that
/// of the enclosing object.
pub fn parse_document<Document: de::DeserializeOwned>(
    text: &str,
) -> Result<Document, error::SettingsProblem> {
    jsonc_parser::parse_to_serde_value(text, &parse_options()).map_err(|failure| {
        let position = error::TextPosition::at(text, failure.range().start);
        error::SettingsProblem::new(error::ProblemKind::Syntax, position, "")
            .found(failure.kind().to_string())
    })
}

/// Returns parser options that allow comments and trailing commas in otherwise strict JSON.
pub(super) fn parse_options() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
