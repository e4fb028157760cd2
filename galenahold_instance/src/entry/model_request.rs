//! Parser of requests to models.

use galenahold_domain::amount;
use serde_json::{Map, Value};

use crate::api;
use crate::entry;

/// The maximum number of output tokens of a request that states no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// The maximum number of answers that one request may ask for.
const MAX_ANSWERS: u64 = 16;

/// A parsed request to a model, with the fields that routing needs.
#[derive(Debug, Clone)]
pub(crate) struct ModelRequest {
    document: Map<String, Value>,
    model: String,
    prompt: String,
    stream: bool,
    wants_usage: bool,
    output_tokens: Option<u64>,
    answers: u64,
}

impl ModelRequest {
    /// Parses the body of a request to `/v1/chat/completions` or `/v1/completions`, whose JSON may
    /// nest up to `max_depth` levels deep.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` that states the field or, for invalid JSON, the line and
    /// column.
    pub(crate) fn parse(body: &[u8], max_depth: usize) -> Result<Self, api::RequestRefusal> {
        if entry::json_depth_exceeds(body, max_depth) {
            return Err(refuse(format!(
                "the body nests deeper than {max_depth} levels"
            )));
        }
        let document: Map<String, Value> = serde_json::from_slice(body).map_err(|error| {
            refuse(format!(
                "the body is not a JSON object: line {}, column {}: {error}",
                error.line(),
                error.column()
            ))
        })?;
        let model = read_model(&document)?;
        let stream = read_bool(&document, "stream")?;
        let wants_usage = read_wants_usage(&document)?;
        let output_tokens = read_output_tokens(&document)?;
        let answers = read_answers(&document)?;
        let prompt = read_prompt(&document)?;
        Ok(Self {
            document,
            model,
            prompt,
            stream,
            wants_usage,
            output_tokens,
            answers,
        })
    }

    /// Returns the name of the requested model or adapter.
    pub(crate) fn model(&self) -> &str {
        &self.model
    }

    /// Returns whether the caller requests an event stream.
    pub(crate) fn stream(&self) -> bool {
        self.stream
    }

    /// Returns whether the caller requests the token counts at the end of the stream.
    pub(crate) fn wants_usage(&self) -> bool {
        self.wants_usage
    }

    /// Returns the prompt text, whose prefix determines prefix cache affinity.
    pub(crate) fn prompt(&self) -> &str {
        &self.prompt
    }

    /// Returns the maximum number of tokens that the request can use, within the model's limit per
    /// answer.
    ///
    /// Each byte of the prompt counts as a token, which is an upper bound since a token has at
    /// least one byte.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the requested output alone exceeds the model's limit.
    pub(crate) fn token_bound(
        &self,
        model_limit: amount::TokenCount,
    ) -> Result<amount::TokenCount, api::RequestRefusal> {
        let output = self.output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        if self.output_tokens.is_some() && output > model_limit.0 {
            return Err(api::RequestRefusal::not_run(
                api::RefusalKind::TooManyTokens,
                format!("max_tokens: {output}: the model allows {model_limit} tokens per request"),
            ));
        }
        let prompt = self.prompt.len() as u64;
        let one_answer = prompt.saturating_add(output).min(model_limit.0).max(1);
        Ok(amount::TokenCount(one_answer.saturating_mul(self.answers)))
    }

    /// Returns the body for the engine, with the output limit, the request for token counts at the
    /// end of a stream and the service's priority.
    pub(crate) fn engine_body(&self, priority: i32, model_limit: amount::TokenCount) -> Vec<u8> {
        let mut document = self.document.clone();
        if self.output_tokens.is_none() {
            let bound = DEFAULT_OUTPUT_TOKENS.min(model_limit.0);
            document.insert("max_tokens".to_owned(), Value::from(bound));
        }
        if priority != 0 {
            document.insert("priority".to_owned(), Value::from(priority));
        }
        if self.stream {
            let options = document
                .entry("stream_options")
                .or_insert_with(|| Value::Object(Map::new()));
            if let Value::Object(options) = options {
                options.insert("include_usage".to_owned(), Value::Bool(true));
            }
        }
        serde_json::to_vec(&document).unwrap_or_default()
    }
}

fn refuse(message: String) -> api::RequestRefusal {
    api::RequestRefusal::not_run(api::RefusalKind::BadRequest, message)
}

fn read_model(document: &Map<String, Value>) -> Result<String, api::RequestRefusal> {
    match document.get("model") {
        Some(Value::String(model)) if !model.is_empty() => Ok(model.clone()),
        Some(other) => Err(refuse(format!(
            "model: {other}: must be the name of a model"
        ))),
        None => Err(refuse("model: missing: must be the name of a model".into())),
    }
}

fn read_bool(document: &Map<String, Value>, field: &str) -> Result<bool, api::RequestRefusal> {
    match document.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(other) => Err(refuse(format!("{field}: {other}: must be true or false"))),
    }
}

fn read_wants_usage(document: &Map<String, Value>) -> Result<bool, api::RequestRefusal> {
    match document.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => read_bool(options, "include_usage"),
        Some(other) => Err(refuse(format!(
            "stream_options: {other}: must be an object"
        ))),
    }
}

fn read_count(
    document: &Map<String, Value>,
    field: &str,
) -> Result<Option<u64>, api::RequestRefusal> {
    match document.get(field) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(count) if count >= 1 => Ok(Some(count)),
            _ => Err(refuse(format!(
                "{field}: {value}: must be a whole number of 1 or more"
            ))),
        },
    }
}

fn read_output_tokens(document: &Map<String, Value>) -> Result<Option<u64>, api::RequestRefusal> {
    let newer = read_count(document, "max_completion_tokens")?;
    let older = read_count(document, "max_tokens")?;
    Ok(match (newer, older) {
        (Some(newer), Some(older)) => Some(newer.max(older)),
        (newer, older) => newer.or(older),
    })
}

fn read_answers(document: &Map<String, Value>) -> Result<u64, api::RequestRefusal> {
    let answers = read_count(document, "n")?.unwrap_or(1);
    let candidates = read_count(document, "best_of")?.unwrap_or(1);
    let wanted = answers.max(candidates);
    if wanted > MAX_ANSWERS {
        return Err(refuse(format!(
            "n: {wanted}: must be {MAX_ANSWERS} or less"
        )));
    }
    Ok(wanted)
}

/// Concatenates all text of the messages or the prompt.
fn read_prompt(document: &Map<String, Value>) -> Result<String, api::RequestRefusal> {
    let mut text = String::new();
    match (document.get("messages"), document.get("prompt")) {
        (Some(Value::Array(messages)), _) => {
            for message in messages {
                collect_text(message, &mut text);
            }
        }
        (Some(other), _) => {
            return Err(refuse(format!("messages: {other}: must be an array")));
        }
        (None, Some(prompt)) => collect_text(prompt, &mut text),
        (None, None) => {
            return Err(refuse(
                "messages: missing: give messages or a prompt".into(),
            ));
        }
    }
    Ok(text)
}

/// Appends all text within `value`; the JSON parser's depth limit bounds the recursion.
fn collect_text(value: &Value, text: &mut String) {
    match value {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => parts.iter().for_each(|part| collect_text(part, text)),
        Value::Object(parts) => parts.values().for_each(|part| collect_text(part, text)),
        Value::Number(number) => text.push_str(&number.to_string()),
        Value::Null | Value::Bool(_) => {}
    }
}
