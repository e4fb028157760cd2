//! Orders with an idempotency key, recorded in the order ledger.

use galenahold_domain::order;
use galenahold_domain::verdict;
use http::{HeaderMap, HeaderValue, StatusCode, header};

use crate::api;
use crate::entry;
use crate::entry::service_handler::ServiceAnswer;
use crate::order as ledger;
use crate::peer;

/// The maximum size of an answer body that the ledger stores, in bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// The header that marks an answer that is replayed from the ledger.
const REPLAYED_HEADER: &str = "x-order-replayed";

/// An order with an idempotency key; its start is recorded in the ledger before it is sent, and its
/// outcome afterwards.
#[derive(Debug)]
pub(crate) struct OrderCall<Handler> {
    /// The client of the order ledger.
    pub(crate) ledger: ledger::OrderClient<Handler>,
    /// The handler that sends the call.
    pub(crate) handler: entry::ServiceHandler,
    /// The call to the plain service.
    pub(crate) call: entry::ServiceCall,
    /// The key of the order in the ledger.
    pub(crate) key: order::OrderKey,
}

impl<Handler: peer::LocalHandler> OrderCall<Handler> {
    /// Runs the order, or returns the answer that the ledger has stored for its key.
    ///
    /// # Errors
    ///
    /// A refusal whose verdict says whether the order may have run.
    pub(crate) async fn run(self) -> Result<ServiceAnswer, api::RequestRefusal> {
        let digest = entry::order_digest(&self.call.method, &self.call.target, &self.call.body);
        let started = self
            .ledger
            .start(&self.key, &digest, self.call.deadline)
            .await?;
        let attempt = match started {
            ledger::OrderPermission::Answered(answer) => return Ok(replay_answer(answer)),
            ledger::OrderPermission::Begun(attempt) => attempt,
        };
        let result = self.handler.run(&self.call).await;
        let outcome = match &result {
            Ok(answer) => order::OrderOutcome::Answered(ledger_answer(answer)),
            Err(refusal) if refusal.verdict == verdict::RequestVerdict::NotRun => {
                order::OrderOutcome::NotRun
            }
            Err(_) => order::OrderOutcome::Unknown,
        };
        self.ledger.finish(self.key, attempt, outcome).await;
        result
    }
}

/// Returns the part of an answer that the ledger stores; a body that is too large is dropped.
fn ledger_answer(answer: &ServiceAnswer) -> order::OrderAnswer {
    let content_type = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let truncated = answer.body.len() > MAX_STORED_BODY_BYTES;
    order::OrderAnswer {
        status: answer.status.as_u16(),
        content_type,
        body: if truncated {
            Vec::new()
        } else {
            answer.body.to_vec()
        },
        truncated,
    }
}

fn replay_answer(answer: order::OrderAnswer) -> ServiceAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    if let Some(content_type) = answer
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok())
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if answer.truncated {
        headers.insert("x-order-body-dropped", HeaderValue::from_static("true"));
    }
    ServiceAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers,
        body: bytes::Bytes::from(answer.body),
    }
}
