//! Routing of callers' requests to models and plain services.

use std::sync;
use std::sync::atomic;
use std::time;

use galenahold_domain::intent;
use galenahold_domain::name;
use galenahold_domain::order;
use galenahold_domain::placement;
use galenahold_domain::verdict;
use galenahold_routing::crash;
use galenahold_routing::replica;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper::body;
use serde::Serialize;

use crate::api;
use crate::configuration;
use crate::entry;
use crate::entry::model_handler::insert_answer_headers;
use crate::order as ledger;
use crate::peer;
use crate::platform;
use crate::task;

/// The maximum length of an idempotency key, in bytes.
const MAX_ORDER_KEY_BYTES: usize = 256;

/// The maximum number of prefix blocks of a prompt that are hashed.
const MAX_PREFIX_BLOCKS: usize = 64;

/// Authenticates callers' requests and routes them to models and plain services.
#[derive(Debug, Clone)]
pub(crate) struct EntryHandler<Handler> {
    parts: sync::Arc<HandlerParts<Handler>>,
}

/// The dependencies of an [`EntryHandler`].
#[derive(Debug)]
pub(crate) struct HandlerParts<Handler> {
    /// The prefix of request ids: this instance's name and incarnation.
    pub(crate) id_prefix: String,
    /// The sequence number of the next request.
    pub(crate) next_request: atomic::AtomicU64,
    /// The cache of the active configuration.
    pub(crate) cache: configuration::ConfigurationCache,
    /// The handler of calls to models.
    pub(crate) models: entry::ModelHandler,
    /// The handler of calls to plain services.
    pub(crate) services: entry::ServiceHandler,
    /// The client of the order ledger.
    pub(crate) ledger: ledger::OrderClient<Handler>,
    /// The reader of request bodies.
    pub(crate) reader: api::BodyReader,
    /// The maximum nesting depth of the JSON of a model request.
    pub(crate) max_json_depth: usize,
    /// The instance's metrics.
    pub(crate) metrics: platform::FleetMetrics,
    /// The recorder of requests against service objectives.
    pub(crate) recorder: platform::BurnRecorder,
    /// Cancelled when requests have to be answered as they are because the instance stops.
    pub(crate) last_answers: tokio_util::sync::CancellationToken,
    /// The task group of orders, which run to their end even if the caller disconnects.
    pub(crate) group: task::TaskGroup,
}

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelListEntry<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelListEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'a str,
}

impl<Handler: peer::LocalHandler> EntryHandler<Handler> {
    /// Creates a handler from its dependencies.
    pub(crate) fn new(parts: HandlerParts<Handler>) -> Self {
        Self {
            parts: sync::Arc::new(parts),
        }
    }

    /// Answers a request, or returns its refusal as an HTTP answer.
    pub(crate) async fn answer(
        &self,
        request: Request<body::Incoming>,
    ) -> Response<api::AnswerBody> {
        let id = self.next_id();
        let last_answers = self.parts.last_answers.clone();
        let routing = Box::pin(self.route(id.clone(), request));
        let routed = last_answers.run_until_cancelled(routing);
        let routed = routed.await.unwrap_or_else(|| {
            Err(api::RequestRefusal::new(
                api::RefusalKind::Stopping,
                verdict::RequestVerdict::MayHaveRun,
                "the instance stopped before the request was answered",
            ))
        });
        match routed {
            Ok(answer) => answer,
            Err(refusal) => {
                let mut answer = refusal.answer();
                if let Ok(value) = http::HeaderValue::from_str(&id) {
                    answer.headers_mut().insert(entry::REQUEST_ID_HEADER, value);
                }
                answer
            }
        }
    }

    fn next_id(&self) -> name::RequestId {
        let number = self
            .parts
            .next_request
            .fetch_add(1, atomic::Ordering::Relaxed);
        name::RequestId::from(format!("{}-{number:x}", self.parts.id_prefix))
    }

    async fn route(
        &self,
        id: name::RequestId,
        request: Request<body::Incoming>,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let started_at = time::Instant::now();
        let (head, body) = request.into_parts();
        check_path(&head.uri)?;
        let identity = entry::CallerIdentity::read(&head.headers, &self.parts.cache)
            .await
            .inspect_err(|refusal| self.count_refusal(refusal))?;
        let arrived = entry::ArrivedRequest {
            id,
            started_at,
            head,
            identity,
            index: self.parts.cache.index(),
        };
        match arrived.head.uri.path() {
            "/v1/chat/completions" | "/v1/completions" => self.call_model(arrived, body).await,
            "/v1/models" => list_models(&arrived),
            _ => self.call_service(arrived, body).await,
        }
    }

    async fn call_model(
        &self,
        arrived: entry::ArrivedRequest,
        body: body::Incoming,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        arrived.check_method(&Method::POST)?;
        let body = self.parts.reader.read(body).await?;
        arrived.check_body(&body)?;
        let request = entry::ModelRequest::parse(&body, self.parts.max_json_depth)?;
        let call = self.prepare_model_call(&arrived, request)?;
        let recorder = call.recorder.clone();
        let served = self.parts.models.serve(call).await;
        served.inspect_err(|refusal| recorder.record_refused(refusal))
    }

    fn prepare_model_call(
        &self,
        arrived: &entry::ArrivedRequest,
        request: entry::ModelRequest,
    ) -> Result<entry::ModelCall, api::RequestRefusal> {
        let index = &arrived.index;
        let resolved = index
            .resolve_model(request.model())
            .ok_or_else(|| refuse_unknown_model(request.model()))?;
        let service = index
            .service_for_model(request.model(), arrived.identity.team())
            .ok_or_else(|| arrived.refuse_access(request.model()))?;
        let model = resolved.model;
        let token_bound = request.token_bound(model.max_request_tokens)?;
        let prefix = replica::PrefixBlocks::of_text(request.prompt(), MAX_PREFIX_BLOCKS);
        let body = request.engine_body(service.priority, model.max_request_tokens);
        let path = arrived.head.uri.path();
        let team = arrived.identity.team_or_empty();
        let keys = crash::CallKeys::new(
            crash::prompt_keys(request.prompt(), &prefix),
            &team,
            &[path.as_bytes(), body.as_ref()],
        );
        Ok(entry::ModelCall {
            id: arrived.id.clone(),
            path: path.to_owned(),
            guard: self.guard(arrived, service),
            artifact: placement::ReplicaArtifact {
                model: model.name.clone(),
                version: model.version.clone(),
                adapter: resolved.adapter.map(|adapter| adapter.name.clone()),
            },
            priority: service.priority,
            concurrency: model.replica_concurrency,
            token_bound,
            keys,
            prefix,
            body: bytes::Bytes::from(body),
            deadline: arrived.deadline(service)?,
            recorder: self.request_recorder(arrived, service),
            identity: arrived.identity.clone(),
            request,
        })
    }

    async fn call_service(
        &self,
        arrived: entry::ArrivedRequest,
        body: body::Incoming,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let path = arrived.head.uri.path();
        let service = arrived
            .index
            .service_for_path(path)
            .cloned()
            .ok_or_else(|| refuse_unknown_path(path))?;
        if !service.admits(arrived.identity.team()) {
            return Err(arrived.refuse_access(&service.name));
        }
        let body = self.parts.reader.read(body).await?;
        arrived.check_body(&body)?;
        let call = self.prepare_service_call(&arrived, &service, body)?;
        let recorder = call.recorder.clone();
        let id = call.id.clone();
        let run = self.run_service_call(&arrived, call).await;
        let answer = run.inspect_err(|refusal| recorder.record_refused(refusal))?;
        recorder.record_first_token();
        recorder.record_answered(answer.status.as_u16(), 0);
        let has_run = answer.status.is_success();
        let mut answer = answer.into_response();
        insert_answer_headers(&mut answer, &id, has_run);
        Ok(answer)
    }

    fn prepare_service_call(
        &self,
        arrived: &entry::ArrivedRequest,
        service: &intent::ServiceIntent,
        body: bytes::Bytes,
    ) -> Result<entry::ServiceCall, api::RequestRefusal> {
        let intent::RouteKind::Plain {
            idempotent_methods,
            call_tokens,
            ..
        } = &service.route
        else {
            return Err(refuse_unknown_path(arrived.head.uri.path()));
        };
        let method = arrived.head.method.clone();
        let redactor = arrived.identity.redactor();
        let target = arrived.target()?;
        let team = arrived.identity.team_or_empty();
        let keys = crash::CallKeys::new(
            Vec::new(),
            &team,
            &[method.as_str().as_bytes(), target.as_bytes(), &body],
        );
        Ok(entry::ServiceCall {
            id: arrived.id.clone(),
            guard: self.guard(arrived, service),
            service: service.name.clone(),
            target,
            keys,
            headers: entry::headers_to_backend(&arrived.head.headers, redactor),
            body,
            idempotent: is_idempotent(&method, idempotent_methods),
            tokens: galenahold_domain::amount::TokenCount(*call_tokens),
            priority: service.priority,
            deadline: arrived.deadline(service)?,
            recorder: self.request_recorder(arrived, service),
            identity: arrived.identity.clone(),
            departure: tokio_util::sync::CancellationToken::new(),
            method,
        })
    }

    async fn run_service_call(
        &self,
        arrived: &entry::ArrivedRequest,
        call: entry::ServiceCall,
    ) -> Result<entry::service_handler::ServiceAnswer, api::RequestRefusal> {
        if call.idempotent {
            return self.parts.services.run(&call).await;
        }
        let key = order_key(&arrived.head.headers, &call)?;
        let handler = self.parts.services.clone();
        let ledger = self.parts.ledger.clone();
        let (sender, receiver) = tokio::sync::oneshot::channel();
        // Dropped with this future when the caller leaves. An order with a key goes on, as the
        // caller can ask for its outcome; any other one goes on only if it was sent.
        let _departure = key.is_none().then(|| call.departure.clone().drop_guard());
        self.parts.group.spawn(async move {
            let result = match key {
                Some(key) => {
                    let order = entry::OrderCall {
                        ledger,
                        handler,
                        call,
                        key,
                    };
                    order.run().await
                }
                None => handler.run(&call).await,
            };
            // The receiver is gone if the caller has disconnected.
            let _ = sender.send(result);
        });
        receiver.await.unwrap_or_else(|_| {
            Err(api::RequestRefusal::new(
                api::RefusalKind::Stopping,
                verdict::RequestVerdict::MayHaveRun,
                "the instance stopped before the order was answered",
            ))
        })
    }

    fn guard(
        &self,
        arrived: &entry::ArrivedRequest,
        service: &intent::ServiceIntent,
    ) -> entry::KeyGuard {
        entry::KeyGuard::new(
            arrived.identity.clone(),
            service.name.clone(),
            self.parts.cache.clone(),
        )
    }

    fn request_recorder(
        &self,
        arrived: &entry::ArrivedRequest,
        service: &intent::ServiceIntent,
    ) -> entry::RequestRecorder {
        let subject = entry::RequestSubject {
            request: arrived.id.clone(),
            service: service.name.clone(),
            team: arrived.identity.team_or_empty(),
            objective: service.objective.clone(),
            started_at: arrived.started_at,
        };
        entry::RequestRecorder::new(
            self.parts.metrics.clone(),
            self.parts.recorder.clone(),
            subject,
        )
    }

    fn count_refusal(&self, refusal: &api::RequestRefusal) {
        let labels = platform::RefusalLabels {
            kind: refusal.kind.as_str().to_owned(),
            verdict: refusal.verdict.as_str().to_owned(),
        };
        self.parts.metrics.refusals.get_or_create(&labels).inc();
    }
}

/// Refuses paths that a backend server might normalize differently from this instance.
fn check_path(uri: &Uri) -> Result<(), api::RequestRefusal> {
    let plain = uri.path().replace("%2e", ".").replace("%2E", ".");
    let plain = plain.replace("%2f", "/").replace("%2F", "/");
    let escapes = plain.split('/').any(|part| part == "." || part == "..");
    if escapes || !uri.path().starts_with('/') {
        return Err(api::RequestRefusal::not_run(
            api::RefusalKind::BadRequest,
            "the path must begin with / and contain no . or .. segments",
        ));
    }
    Ok(())
}

fn is_idempotent(method: &Method, idempotent_methods: &[String]) -> bool {
    method == Method::GET
        || method == Method::HEAD
        || idempotent_methods
            .iter()
            .any(|name| name.eq_ignore_ascii_case(method.as_str()))
}

fn order_key(
    headers: &HeaderMap,
    call: &entry::ServiceCall,
) -> Result<Option<order::OrderKey>, api::RequestRefusal> {
    let Some(value) = headers.get(entry::IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_ORDER_KEY_BYTES {
        return Err(api::RequestRefusal::not_run(
            api::RefusalKind::BadRequest,
            format!("idempotency-key: must be 1 to {MAX_ORDER_KEY_BYTES} ASCII characters"),
        ));
    }
    if call.identity.redactor().detects_key(key.as_bytes()) {
        return Err(api::RequestRefusal::not_run(
            api::RefusalKind::BadRequest,
            "idempotency-key: must not contain a caller's key",
        ));
    }
    Ok(Some(order::OrderKey {
        team: call.identity.team_or_empty(),
        service: call.service.clone(),
        key: key.to_owned(),
    }))
}

fn refuse_unknown_model(model: &str) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::NotFound,
        format!("there is no model or adapter {model:?}"),
    )
}

fn refuse_unknown_path(path: &str) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::NotFound,
        format!("there is no service at {path:?}"),
    )
}

fn list_models(
    arrived: &entry::ArrivedRequest,
) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
    arrived.check_method(&Method::GET)?;
    let index = &arrived.index;
    let team = arrived.identity.team();
    let names = index.view().intent.models.iter().flat_map(|model| {
        let adapters = model.adapters.iter().map(|adapter| adapter.name.as_str());
        std::iter::once(model.name.as_str()).chain(adapters)
    });
    let data = names
        .filter_map(|name| {
            let service = index.service_for_model(name, team)?;
            Some(ModelListEntry {
                id: name,
                object: "model",
                owned_by: &service.name,
            })
        })
        .collect();
    let list = ModelList {
        object: "list",
        data,
    };
    let mut answer = api::json_answer(
        StatusCode::OK,
        serde_json::to_vec(&list).unwrap_or_default(),
    );
    insert_answer_headers(&mut answer, &arrived.id, true);
    Ok(answer)
}
