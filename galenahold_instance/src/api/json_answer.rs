//! Builds HTTP answers with a JSON body.

use http::{HeaderValue, Response, StatusCode, header};

use crate::api;

/// Creates an answer with a serialized JSON document as its body.
pub(crate) fn json_answer(
    status: StatusCode,
    document: impl Into<bytes::Bytes>,
) -> Response<api::AnswerBody> {
    let mut answer = Response::new(api::AnswerBody::whole(document));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    answer
}
