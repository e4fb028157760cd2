//! Parses a settings text according to the schema.

use std::net;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

use crate::description;
use crate::error;
use crate::reader;

const MAX_NAME_CHARS: usize = 63;
const DIGEST_HEX_DIGITS: usize = 64;

/// Parses a settings text, validates it against the schema and collects its problems.
#[derive(Debug)]
pub(crate) struct SettingsReader<'a> {
    text: &'a str,
    problems: Vec<error::SettingsProblem>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader of `text`.
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            problems: Vec::new(),
        }
    }

    /// Parses the text as one object; returns `None` if it is not valid JSON with comments or not an object.
    pub(crate) fn read(
        &mut self,
        group: &description::GroupDescription,
    ) -> Option<reader::ParsedGroup> {
        let parsed = jsonc_parser::parse_to_ast(
            self.text,
            &jsonc_parser::CollectOptions::default(),
            &reader::document_text::parse_options(),
        );
        match parsed {
            Ok(result) => self.read_root(group, result.value.as_ref()),
            Err(failure) => {
                let position = error::TextPosition::at(self.text, failure.range().start);
                let problem = error::SettingsProblem::new(error::ProblemKind::Syntax, position, "");
                self.problems
                    .push(problem.found(failure.kind().to_string()));
                None
            }
        }
    }

    /// Consumes the reader and returns the problems in the order of their positions.
    pub(crate) fn finish(self) -> Vec<error::SettingsProblem> {
        let mut problems = self.problems;
        problems.sort_by_key(|problem| (problem.position.line, problem.position.column));
        problems
    }

    /// Adds problems found by other checks.
    pub(crate) fn extend(&mut self, problems: Vec<error::SettingsProblem>) {
        self.problems.extend(problems);
    }

    fn read_root(
        &mut self,
        group: &description::GroupDescription,
        root: Option<&ast::Value<'_>>,
    ) -> Option<reader::ParsedGroup> {
        if let Some(ast::Value::Object(object)) = root {
            return Some(self.read_group(group, object, ""));
        }
        let position = root.map_or(error::TextPosition { line: 1, column: 1 }, |value| {
            self.position(value)
        });
        let problem = error::SettingsProblem::new(error::ProblemKind::Syntax, position, "");
        self.problems
            .push(problem.found("the file does not hold an object { ... }"));
        None
    }

    fn read_group(
        &mut self,
        group: &description::GroupDescription,
        object: &ast::Object<'_>,
        prefix: &str,
    ) -> reader::ParsedGroup {
        let mut parsed_group = reader::ParsedGroup::new(self.position(object));
        for property in &object.properties {
            let name = property.name.as_str();
            let path = format!("{prefix}{}", name.escape_debug());
            let position = self.position(property);
            let Some(field) = group.field(name) else {
                self.report_unknown_field(group, name, position, path);
                continue;
            };
            if !parsed_group.mark_present(field.name) {
                self.report(error::ProblemKind::DuplicateField, position, &path);
                continue;
            }
            if let Some(value) = self.read_value(field.kind, &property.value, &path) {
                parsed_group.insert(field.name, value);
            }
        }
        self.resolve_absent_fields(group, &mut parsed_group, prefix);
        parsed_group
    }

    fn resolve_absent_fields(
        &mut self,
        group: &description::GroupDescription,
        parsed_group: &mut reader::ParsedGroup,
        prefix: &str,
    ) {
        for field in group.fields {
            if parsed_group.is_present(field) {
                continue;
            }
            let path = format!("{prefix}{}", field.name);
            match field.requirement {
                description::FieldRequirement::Optional => {}
                description::FieldRequirement::Required => {
                    let problem = error::SettingsProblem::new(
                        error::ProblemKind::MissingField,
                        parsed_group.position,
                        path,
                    );
                    self.problems.push(problem.allowed(field.kind.to_string()));
                }
                description::FieldRequirement::Default(value) => {
                    let value = self.default_value(field.kind, value, &path, parsed_group.position);
                    let position = parsed_group.position;
                    parsed_group.insert(
                        field.name,
                        reader::ParsedField {
                            position,
                            path,
                            value,
                        },
                    );
                }
            }
        }
    }

    fn default_value(
        &mut self,
        kind: description::ValueKind,
        value: description::DefaultValue,
        path: &str,
        position: error::TextPosition,
    ) -> reader::ParsedValue {
        match value {
            description::DefaultValue::Number(number) => reader::ParsedValue::Number(number),
            description::DefaultValue::Word(word) => reader::ParsedValue::Text(String::from(word)),
            description::DefaultValue::EmptyList => reader::ParsedValue::List(Vec::new()),
            description::DefaultValue::EmptyGroup => {
                let mut parsed_group = reader::ParsedGroup::new(position);
                if let description::ValueKind::Group(group) = kind {
                    self.resolve_absent_fields(group, &mut parsed_group, &format!("{path}."));
                }
                reader::ParsedValue::Group(parsed_group)
            }
        }
    }

    fn read_value(
        &mut self,
        kind: description::ValueKind,
        value: &ast::Value<'_>,
        path: &str,
    ) -> Option<reader::ParsedField> {
        let position = self.position(value);
        let outcome = match (kind, value) {
            (description::ValueKind::List(element), ast::Value::Array(array)) => Ok(
                reader::ParsedValue::List(self.read_list(*element, array, path)?),
            ),
            (description::ValueKind::Group(group), ast::Value::Object(object)) => {
                let prefix = format!("{path}.");
                Ok(reader::ParsedValue::Group(
                    self.read_group(group, object, &prefix),
                ))
            }
            _ => scalar_value(kind, value),
        };
        match outcome {
            Ok(value) => Some(reader::ParsedField {
                position,
                path: String::from(path),
                value,
            }),
            Err(problem_kind) => {
                let problem = error::SettingsProblem::new(problem_kind, position, path);
                self.problems
                    .push(problem.found(self.excerpt(value)).allowed(kind.to_string()));
                None
            }
        }
    }

    /// Parses a list; returns `None` if any element is invalid, so that no later check treats the list as
    /// complete.
    fn read_list(
        &mut self,
        kind: description::ValueKind,
        array: &ast::Array<'_>,
        path: &str,
    ) -> Option<Vec<reader::ParsedField>> {
        let mut elements: Vec<reader::ParsedField> = Vec::new();
        let mut valid = true;
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match self.read_value(kind, value, &path) {
                Some(element) if repeats(&element, &elements) => {
                    self.report_repeated(&element, value);
                    valid = false;
                }
                Some(element) => elements.push(element),
                None => valid = false,
            }
        }
        valid.then_some(elements)
    }

    fn report_repeated(&mut self, element: &reader::ParsedField, value: &ast::Value<'_>) {
        let found = format!("{} appears twice in the list", self.excerpt(value));
        let problem = error::SettingsProblem::new(
            error::ProblemKind::InvalidValue,
            element.position,
            element.path.clone(),
        );
        self.problems
            .push(problem.found(found).allowed("each value at most once"));
    }

    fn report(&mut self, kind: error::ProblemKind, position: error::TextPosition, path: &str) {
        self.problems
            .push(error::SettingsProblem::new(kind, position, path));
    }

    fn report_unknown_field(
        &mut self,
        group: &description::GroupDescription,
        name: &str,
        position: error::TextPosition,
        path: String,
    ) {
        let known = group.fields.iter().map(|field| field.name);
        let suggestion = reader::nearest_name(name, known).map(String::from);
        let names: Vec<_> = group.fields.iter().map(|field| field.name).collect();
        let problem = error::SettingsProblem::new(error::ProblemKind::UnknownField, position, path);
        self.problems
            .push(problem.suggestion(suggestion).allowed(names.join(", ")));
    }

    fn position(&self, node: &impl Ranged) -> error::TextPosition {
        error::TextPosition::at(self.text, node.start())
    }

    /// Returns the source text of a value on one line, truncated to `MAX_CHARS` characters.
    fn excerpt(&self, value: &ast::Value<'_>) -> String {
        const MAX_CHARS: usize = 40;
        let text = value.text(self.text);
        let line: String = text
            .chars()
            .map(|char| if char.is_control() { ' ' } else { char })
            .take(MAX_CHARS)
            .collect();
        if text.chars().count() > MAX_CHARS {
            format!("{line}...")
        } else {
            line
        }
    }
}

/// Returns whether a text element equals an earlier one.
fn repeats(element: &reader::ParsedField, earlier: &[reader::ParsedField]) -> bool {
    let text = element.as_text();
    text.is_some() && earlier.iter().any(|other| other.as_text() == text)
}

fn scalar_value(
    kind: description::ValueKind,
    value: &ast::Value<'_>,
) -> Result<reader::ParsedValue, error::ProblemKind> {
    match (kind, value) {
        (description::ValueKind::Boolean, ast::Value::BooleanLit(literal)) => {
            Ok(reader::ParsedValue::Boolean(literal.value))
        }
        (description::ValueKind::Number { min, max, .. }, ast::Value::NumberLit(literal)) => {
            number_value(literal.value, min, max)
        }
        (description::ValueKind::Address { port_zero }, ast::Value::StringLit(literal)) => {
            address_value(&literal.value, port_zero)
        }
        (
            description::ValueKind::Name
            | description::ValueKind::Path
            | description::ValueKind::Word(_)
            | description::ValueKind::Digest,
            ast::Value::StringLit(literal),
        ) => text_value(kind, &literal.value),
        _ => Err(error::ProblemKind::WrongType),
    }
}

fn number_value(text: &str, min: u64, max: u64) -> Result<reader::ParsedValue, error::ProblemKind> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    if !digits.chars().all(|char| char.is_ascii_digit()) {
        return Err(error::ProblemKind::WrongType);
    }
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(reader::ParsedValue::Number(number)),
        _ => Err(error::ProblemKind::OutOfRange),
    }
}

fn address_value(text: &str, port_zero: bool) -> Result<reader::ParsedValue, error::ProblemKind> {
    let address: net::SocketAddr = text.parse().map_err(|_| error::ProblemKind::InvalidValue)?;
    if address.port() == 0 && !port_zero {
        return Err(error::ProblemKind::InvalidValue);
    }
    Ok(reader::ParsedValue::Address(address))
}

fn text_value(
    kind: description::ValueKind,
    text: &str,
) -> Result<reader::ParsedValue, error::ProblemKind> {
    let valid = match kind {
        description::ValueKind::Name => is_name(text),
        description::ValueKind::Word(words) => words.contains(&text),
        description::ValueKind::Digest => is_digest(text),
        _ => !text.is_empty() && !text.contains('\0'),
    };
    if valid {
        Ok(reader::ParsedValue::Text(String::from(text)))
    } else {
        Err(error::ProblemKind::InvalidValue)
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |char: char| char.is_alphanumeric() || matches!(char, '-' | '_' | '.');
    (1..=MAX_NAME_CHARS).contains(&text.chars().count()) && text.chars().all(allowed)
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_HEX_DIGITS && text.chars().all(|char| char.is_ascii_hexdigit())
}
