//! Parts shared by the HTTP APIs: listener, limits, bodies and refusals.

mod answer_body;
mod body_reader;
mod connection_counter;
mod connection_limits;
mod http_handler;
mod http_listener;
mod json_answer;
mod read_ahead_sender;
mod refusal_kind;
mod request_refusal;
mod stream_sender;

pub(crate) use answer_body::{AnswerBody, CallerGone};
pub(crate) use body_reader::BodyReader;
pub(crate) use connection_counter::ConnectionCounter;
pub(crate) use connection_limits::ConnectionLimits;
pub(crate) use http_handler::HttpHandler;
pub(crate) use http_listener::HttpListener;
pub(crate) use json_answer::json_answer;
pub(crate) use read_ahead_sender::{ReadAheadSender, SendError};
pub(crate) use refusal_kind::RefusalKind;
pub(crate) use request_refusal::{RequestRefusal, VERDICT_HEADER};
pub(crate) use stream_sender::StreamSender;
