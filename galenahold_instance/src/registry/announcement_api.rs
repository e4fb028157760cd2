//! Serves the HTTP API to which backend servers send announcements and cache events.

use std::net;
use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_domain::server;
use http::{Method, Request, Response, StatusCode};
use hyper::body;
use serde::de;

use crate::api;
use crate::peer;
use crate::registry;

/// The maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024 * 1024;

/// The timeout of receiving an announcement.
const ANNOUNCEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The maximum length of a backend server's name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The HTTP API for announcements and cache events of backend servers.
#[derive(Debug, Clone)]
pub(crate) struct AnnouncementApi<Handler> {
    recorder: registry::DepartureRecorder<Handler>,
    registry: registry::ServerRegistry,
    events: registry::EventLog,
    sink: tokio::sync::mpsc::Sender<server::CacheEvent>,
}

impl<Handler: peer::LocalHandler> AnnouncementApi<Handler> {
    /// Creates an API that records announcements in `registry`, records departures through `recorder` and passes
    /// cache events to `events` and `sink`.
    pub(crate) fn new(
        recorder: registry::DepartureRecorder<Handler>,
        registry: registry::ServerRegistry,
        events: registry::EventLog,
        sink: tokio::sync::mpsc::Sender<server::CacheEvent>,
    ) -> Self {
        Self {
            recorder,
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
        let reader = api::BodyReader::new(MAX_ANNOUNCEMENT_BYTES, ANNOUNCEMENT_TIMEOUT);
        let body = reader.read(request.into_body()).await?;
        match path.as_str() {
            "/v1/backend/announce" => self.announce(parse(&body)?).await,
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

    async fn announce(
        &self,
        announcement: server::ServerAnnouncement,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        check_name(&announcement.name)?;
        let departure = announcement.leaving.then(|| fleet::ServerDeparture {
            name: announcement.name.clone(),
            started_ms: announcement.incarnation.0,
            stage: fleet::DepartureStage::Draining,
        });
        let now = time::Instant::now();
        self.registry
            .record(announcement, time::Duration::ZERO, true, now);
        if let Some(departure) = departure {
            self.commit_departure(departure).await?;
        }
        Ok(api::json_answer(StatusCode::OK, "{}"))
    }

    /// Commits a departure in the control group, so that it is not lost with this instance.
    ///
    /// # Errors
    ///
    /// The departure may not be committed; the backend server has to announce it again.
    async fn commit_departure(
        &self,
        departure: fleet::ServerDeparture,
    ) -> Result<(), api::RequestRefusal> {
        if self.recorder.record(&departure).await {
            return Ok(());
        }
        Err(api::RequestRefusal::not_run(
            api::RefusalKind::ControlUnavailable,
            "the control group did not record the departure in time; announce it again",
        ))
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

impl<Handler: peer::LocalHandler> api::HttpHandler for AnnouncementApi<Handler> {
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
