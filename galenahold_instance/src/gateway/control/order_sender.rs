//! Delivery of orders to engines.

use std::collections;
use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_placement::fleet as placement;
use galenahold_routing::fleet;
use http::Request;
use http_body_util::Full;
use log::{info, warn};
use snafu::ResultExt;
use tokio::sync as tokio_sync;

use crate::backend;
use crate::control as group;
use crate::gateway;
use crate::gateway::control::report_error;

/// Maximum time for an engine to answer an order or a report request.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Maximum size of an engine's report, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Sends orders to engines, one at a time to each engine, and only while this member leads.
pub(crate) struct OrderSender<Dialect> {
    dialect: Dialect,
    client: backend::BackendClient,
    member: sync::Arc<group::ControlGroup>,
    /// The instance that orders name as their issuer.
    holder: name::InstanceName,
    queues: sync::Mutex<QueueTable>,
    /// The engines that asked for a pause.
    closures: sync::Mutex<fleet::ServerClosures>,
}

/// The outcome of sending an order.
#[derive(Debug)]
pub(crate) struct SentOrder {
    /// Whether and how the engine accepted the order.
    pub(crate) receipt: placement::OrderReceipt,
    /// The engine's report, if one was fetched.
    pub(crate) report: Option<placement::EngineReport>,
}

impl SentOrder {
    fn unsent(report: Option<placement::EngineReport>) -> Self {
        Self {
            receipt: placement::OrderReceipt::NotSent,
            report,
        }
    }
}

type QueueTable =
    collections::HashMap<name::ServerName, sync::Arc<tokio_sync::Mutex<placement::OrderQueue>>>;

impl<Dialect: gateway::FleetDialect> OrderSender<Dialect> {
    /// Creates a sender whose orders name `holder` as the issuing instance.
    pub(crate) fn new(
        dialect: Dialect,
        client: backend::BackendClient,
        member: sync::Arc<group::ControlGroup>,
        holder: name::InstanceName,
    ) -> Self {
        Self {
            dialect,
            client,
            member,
            holder,
            queues: sync::Mutex::default(),
            closures: sync::Mutex::default(),
        }
    }

    /// Sends an order in the given term; fetches the engine's report first if its count of accepted
    /// orders is unknown.
    pub(crate) async fn send(&self, term: u64, order: &placement::EngineOrder) -> SentOrder {
        let queue = self.queue(&order.server);
        let mut queue = queue.lock().await;
        queue.begin_term(term, order.started_ms);
        if !queue.is_open(time::Instant::now()) {
            info!(
                server:% = order.server,
                order = order.number,
                action:? = order.action,
                term = term;
                "order not sent: orders to the engine are paused after an unclear outcome"
            );
            return SentOrder::unsent(None);
        }
        if self.is_closed(order) {
            info!(
                server:% = order.server,
                order = order.number,
                action:? = order.action,
                term = term;
                "order not sent: the engine asked for a pause"
            );
            return SentOrder::unsent(None);
        }
        let mut report = None;
        if queue.accepted_orders().is_none() {
            report = self.try_fetch_report(order).await;
            let now = time::Instant::now();
            let is_consistent = report
                .as_ref()
                .is_some_and(|report| queue.apply_report(report, order, now));
            if !is_consistent {
                info!(
                    server:% = order.server,
                    order = order.number,
                    term = term,
                    report:? = report,
                    held:? = order.held,
                    adapters:? = order.adapters;
                    "order not sent: the engine gave no report, is busy, or holds other models or adapters than expected"
                );
                return SentOrder::unsent(report);
            }
        }
        let after = queue.accepted_orders();
        let receipt = self.send_once(term, order, after).await;
        queue.record_receipt(&order.action, receipt, time::Instant::now());
        info!(
            server:% = order.server,
            order = order.number,
            action:? = order.action,
            term = term,
            after:? = after,
            receipt:? = receipt;
            "order sent to engine"
        );
        SentOrder { receipt, report }
    }

    async fn send_once(
        &self,
        term: u64,
        order: &placement::EngineOrder,
        after: Option<u64>,
    ) -> placement::OrderReceipt {
        let address = backend_address(order);
        let connecting = self
            .client
            .connect(&address, backend::ConnectionReuse::Never)
            .await;
        let Ok(connection) = connecting else {
            return placement::OrderReceipt::NotSent;
        };
        // The lease may have expired meanwhile if this instance was frozen.
        if self.member.leading_term() != Some(term) {
            return placement::OrderReceipt::NotSent;
        }
        let metadata = gateway::OrderMetadata {
            holder: &self.holder,
            fence: term,
            after,
        };
        let request = self.dialect.order_request(order, &metadata).map(Full::new);
        let deadline = time::Instant::now() + ANSWER_TIMEOUT;
        let sent = self
            .client
            .send(connection, &address, request, deadline)
            .await;
        match sent {
            Ok(exchange) => {
                self.close_if_asked(order, &exchange);
                self.dialect.read_receipt(exchange.head().status)
            }
            Err(error) if error.kind == backend::AttemptErrorKind::Unsent => {
                placement::OrderReceipt::NotSent
            }
            Err(_) => placement::OrderReceipt::Unanswered,
        }
    }

    /// Fetches an engine's report; logs a failure and returns `None`.
    async fn try_fetch_report(
        &self,
        order: &placement::EngineOrder,
    ) -> Option<placement::EngineReport> {
        match self.fetch_report(order).await {
            Ok(report) => Some(report),
            Err(error) => {
                warn!(server:% = order.server, error:% = error; "cannot fetch the report of an engine");
                None
            }
        }
    }

    async fn fetch_report(
        &self,
        order: &placement::EngineOrder,
    ) -> Result<placement::EngineReport, report_error::ReportError> {
        let address = backend_address(order);
        let request: Request<_> = self.dialect.report_request(&order.server).map(Full::new);
        let deadline = time::Instant::now() + ANSWER_TIMEOUT;
        let connection = self
            .client
            .connect(&address, backend::ConnectionReuse::Never)
            .await
            .context(report_error::ExchangeSnafu)?;
        let mut exchange = self
            .client
            .send(connection, &address, request, deadline)
            .await
            .context(report_error::ExchangeSnafu)?;
        self.close_if_asked(order, &exchange);
        let status = exchange.head().status;
        if !status.is_success() {
            return report_error::StatusSnafu { status }.fail();
        }
        let content = exchange
            .read_rest(MAX_REPORT_BYTES, deadline)
            .await
            .context(report_error::ExchangeSnafu)?;
        self.dialect
            .read_report(&content)
            .context(report_error::ContentSnafu)
    }

    /// Returns whether the engine asked for a pause.
    fn is_closed(&self, order: &placement::EngineOrder) -> bool {
        let now = time::Instant::now();
        let closures = self.lock_closures();
        let opens_in = closures.opens_in(&order.server, order.started_ms, now);
        opens_in.is_some()
    }

    /// Sends the engine nothing for the time that its answer asks for.
    fn close_if_asked(&self, order: &placement::EngineOrder, exchange: &backend::BackendExchange) {
        let head = exchange.head();
        let metadata = self.dialect.read_answer(None, head.status, &head.headers);
        if let Some(pause) = metadata.pause {
            let now = time::Instant::now();
            self.lock_closures()
                .close(&order.server, order.started_ms, pause, now);
        }
    }

    fn lock_closures(&self) -> sync::MutexGuard<'_, fleet::ServerClosures> {
        self.closures
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn queue(
        &self,
        server: &name::ServerName,
    ) -> sync::Arc<tokio_sync::Mutex<placement::OrderQueue>> {
        let mut queues = self
            .queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        sync::Arc::clone(queues.entry(server.clone()).or_default())
    }
}

fn backend_address(order: &placement::EngineOrder) -> backend::BackendAddress {
    backend::BackendAddress {
        server: order.server.clone(),
        incarnation: amount::IncarnationNumber(order.started_ms),
        socket: order.address,
    }
}
