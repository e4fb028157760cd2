//! Answers whose body is a JSON document.

use http::{HeaderValue, Response, StatusCode, header};

use crate::api;

/// Creates an answer whose body is a JSON document.
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
