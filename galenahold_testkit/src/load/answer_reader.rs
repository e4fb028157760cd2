//! Reading answers.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;

use super::answer_check::AnswerCheck;
use super::answer_piece::AnswerPiece;
use super::event_reader::EventReader;
use super::load_client::ClientAnswer;
use super::request_end::RequestEnd;
use super::request_result::RequestResult;
use crate::http::VERDICT_HEADER;

/// Reads a refusal's verdict and kind.
pub(crate) async fn read_refusal(mut answer: ClientAnswer) -> RequestResult {
    let status = answer.answer.status().as_u16();
    let verdict = header_text(&answer, VERDICT_HEADER);
    let Some(body) = read_body(&mut answer).await else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    answer.recycle();
    let document: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let kind = document["error"]["type"].as_str().unwrap_or_default();
    RequestResult::ended(RequestEnd::Refused {
        status,
        verdict,
        kind: kind.to_owned(),
    })
}

/// Reads an answer that comes at once.
pub(crate) async fn read_whole(mut answer: ClientAnswer, mut check: AnswerCheck) -> RequestResult {
    let Some(body) = read_body(&mut answer).await else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    answer.recycle();
    check.take(&body);
    let end = if check.is_whole() {
        RequestEnd::Answered
    } else {
        RequestEnd::Wrong
    };
    RequestResult {
        end,
        tokens: check.received(),
        first_at: Some(time::Instant::now()),
        gaps: Vec::new(),
    }
}

/// Reads a stream of events.
pub(crate) async fn read_stream(mut answer: ClientAnswer, mut check: AnswerCheck) -> RequestResult {
    let mut events = EventReader::default();
    let mut result = RequestResult::ended(RequestEnd::Broken);
    let mut last_at = None;
    let mut done = false;
    while let Some(frame) = answer.answer.body_mut().frame().await {
        let Ok(frame) = frame else {
            return result;
        };
        let now = time::Instant::now();
        events.push(frame.data_ref().map_or(&[], |data| data));
        while let Some(data) = events.next_data() {
            match check.take(data) {
                AnswerPiece::Tokens(_) => {
                    result.first_at.get_or_insert(now);
                    if let Some(last_at) = last_at.replace(now) {
                        result.gaps.push(now.duration_since(last_at));
                    }
                }
                AnswerPiece::Other => {}
                AnswerPiece::Done => done = true,
                AnswerPiece::Failed => {
                    result.end = RequestEnd::FailedStream {
                        verdict: check.error().verdict.clone(),
                        kind: check.error().kind.clone(),
                    };
                }
                AnswerPiece::Wrong => result.end = RequestEnd::Wrong,
            }
        }
        result.tokens = check.received();
    }
    answer.recycle();
    if result.end == RequestEnd::Broken {
        result.end = if done && check.is_whole() {
            RequestEnd::Answered
        } else {
            RequestEnd::Wrong
        };
    }
    result
}

/// Reads the answer to an order.
pub(crate) async fn read_order(mut answer: ClientAnswer, order: &str) -> RequestResult {
    let Some(body) = read_body(&mut answer).await else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    answer.recycle();
    let document: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let end = if document["order"] == order {
        RequestEnd::Answered
    } else {
        RequestEnd::Wrong
    };
    let mut result = RequestResult::ended(end);
    result.first_at = Some(time::Instant::now());
    result
}

/// Reads a body to its end; `None` when it breaks.
async fn read_body(answer: &mut ClientAnswer) -> Option<Bytes> {
    let collected = answer.answer.body_mut().collect().await.ok()?;
    Some(collected.to_bytes())
}

fn header_text(answer: &ClientAnswer, name: &str) -> String {
    let value = answer.answer.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}
