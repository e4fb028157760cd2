//! Serves the HTTP API to which backend servers send announcements and cache events.

use std::net;
use std::time;

use galenahold_domain::name;
use galenahold_domain::server;
use http::{Method, Request, Response, StatusCode};
use hyper::body;
use log::info;
use serde::de;

use crate::api;
use crate::registry;

/// The maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024 * 1024;

/// The timeout of receiving an announcement.
const ANNOUNCEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The maximum length of a backend server's name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The HTTP API for announcements and cache events of backend servers.
#[derive(Debug, Clone)]
pub(crate) struct AnnouncementApi {
    registry: registry::ServerRegistry,
    events: registry::EventLog,
    sink: tokio::sync::mpsc::Sender<server::CacheEvent>,
}

impl AnnouncementApi {
    /// Creates an API that records announcements in `registry` and passes cache events to `events` and `sink`.
    pub(crate) fn new(
        registry: registry::ServerRegistry,
        events: registry::EventLog,
        sink: tokio::sync::mpsc::Sender<server::CacheEvent>,
    ) -> Self {
        Self {
            registry,
            events,
            sink,
        }
    }

    async fn answer(
        &self,
        request: Request<body::Incoming>,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let path = request.uri().path().to_owned();
        if request.method() != Method::POST {
            return Err(api::RequestRefusal::not_run(
                api::RefusalKind::MethodNotAllowed,
                format!("{path} takes POST"),
            ));
        }
        let reader = api::BodyReader {
            max_bytes: MAX_ANNOUNCEMENT_BYTES,
            timeout: ANNOUNCEMENT_TIMEOUT,
        };
        let body = reader.read(request.into_body()).await?;
        match path.as_str() {
            "/v1/backend/announce" => self.announce(parse(&body)?),
            "/v1/backend/cache-events" => {
                let document: registry::CacheEventDocument = parse(&body)?;
                self.take_event(document.into_event())
            }
            _ => Err(api::RequestRefusal::not_run(
                api::RefusalKind::NotFound,
                "there are /v1/backend/announce and /v1/backend/cache-events",
            )),
        }
    }

    fn announce(
        &self,
        announcement: server::ServerAnnouncement,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        check_name(&announcement.name)?;
        if announcement.leaving {
            info!(
                server:% = announcement.name,
                incarnation:% = announcement.incarnation;
                "backend server leaves"
            );
        }
        let now = time::Instant::now();
        self.registry
            .record(announcement, time::Duration::ZERO, true, now);
        Ok(api::json_answer(StatusCode::OK, "{}"))
    }

    fn take_event(
        &self,
        event: server::CacheEvent,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        check_name(&event.name)?;
        // An event to a full queue is dropped, which shows as a gap in the sequence.
        let _ = self.sink.try_send(event.clone());
        self.events.push(event);
        Ok(api::json_answer(StatusCode::OK, "{}"))
    }
}

impl api::HttpHandler for AnnouncementApi {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        self.answer(request)
            .await
            .unwrap_or_else(|refusal| refusal.answer())
    }
}

fn parse<Document: de::DeserializeOwned>(body: &[u8]) -> Result<Document, api::RequestRefusal> {
    serde_json::from_slice(body).map_err(|error| {
        api::RequestRefusal::not_run(api::RefusalKind::BadRequest, error.to_string())
    })
}

/// Checks that a name is short printable ASCII, because names go into headers and logs.
fn check_name(name: &name::ServerName) -> Result<(), api::RequestRefusal> {
    let plain = name.bytes().all(|byte| byte.is_ascii_graphic());
    if plain && !name.is_empty() && name.len() <= MAX_NAME_BYTES {
        return Ok(());
    }
    Err(api::RequestRefusal::not_run(
        api::RefusalKind::BadRequest,
        format!("name: must be 1 to {MAX_NAME_BYTES} printable ASCII characters without spaces"),
    ))
}
