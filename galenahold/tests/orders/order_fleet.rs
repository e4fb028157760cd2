//! The fleet that the tests of orders use.

use std::sync;
use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::proxy;
use serde_json::json;

/// One fleet at a time keeps the processes' timing apart.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

/// A fleet with plain servers, alone on the machine as far as this binary goes.
pub(crate) struct OrderFleet {
    /// The fleet.
    pub(crate) serving: harness::ServingFleet,
    _turn: sync::MutexGuard<'static, ()>,
}

impl OrderFleet {
    /// Starts three control instances and one entry instance with plain servers.
    pub(crate) fn start(services: usize, route: harness::PeerRoute) -> Self {
        Self::with_call_time(services, route, time::Duration::from_millis(1))
    }

    /// Starts the fleet with plain servers that take their time.
    pub(crate) fn with_call_time(
        services: usize,
        route: harness::PeerRoute,
        call_time: time::Duration,
    ) -> Self {
        Self::with_settings(services, route, call_time, &json!({}))
    }

    /// Starts the fleet with other settings of its instances.
    pub(crate) fn with_settings(
        services: usize,
        route: harness::PeerRoute,
        call_time: time::Duration,
        settings: &serde_json::Value,
    ) -> Self {
        let turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let instances = harness::FleetBuilder::default()
            .control(3)
            .entries(1)
            .settings(settings)
            .peer_route(route);
        let call_us = u64::try_from(call_time.as_micros()).expect("fits");
        let serving = harness::ServingBuilder::default()
            .instances(instances)
            .services(services, call_us)
            .start()
            .expect("the fleet starts");
        Self {
            serving,
            _turn: turn,
        }
    }

    /// Returns a caller whose requests have this long.
    pub(crate) fn hasty_caller(
        &self,
        instance: usize,
        limit: time::Duration,
    ) -> harness::FleetCaller {
        let limit = limit.as_millis().to_string();
        self.serving
            .caller(instance)
            .header("x-request-timeout-ms", &limit)
    }
}

/// Sends an order without an idempotency key.
pub(crate) fn send(caller: &harness::FleetCaller, order: &str) -> harness::CallerAnswer {
    let body = json!({ "order": order });
    caller
        .post("/foundry/orders", &body)
        .expect("an answer comes")
}

/// Sends an order under its own name as the idempotency key.
pub(crate) fn send_keyed(caller: &harness::FleetCaller, order: &str) -> harness::CallerAnswer {
    send(&caller.clone().header("idempotency-key", order), order)
}

/// Asserts that an answer's verdict agrees with how often the order ran.
pub(crate) fn assert_true_verdict(answer: &harness::CallerAnswer, runs: u64, order: &str) {
    assert!(runs <= 1, "{order} ran {runs} times");
    match answer.verdict.as_deref() {
        Some("not-run") => assert_eq!(runs, 0, "{order} ran: {}", answer.body),
        Some("ran") => assert_eq!(runs, 1, "{order} did not run: {}", answer.body),
        Some("may-have-run") => {}
        other => panic!("{order}: verdict {other:?}: {}", answer.body),
    }
}

/// A plain server that is announced at the address of a faulty link.
pub(crate) struct LinkedServer {
    /// The server.
    pub(crate) server: galenahold_testkit::service::ServiceProcess,
    /// The link to it.
    pub(crate) link: proxy::FaultLink,
    _proxy: proxy::FaultProxy,
    stop: sync::mpsc::Sender<()>,
    announcer: Option<std::thread::JoinHandle<()>>,
}

impl LinkedServer {
    /// Starts a server and announces its link to all instances.
    pub(crate) fn start(fleet: &harness::ServingFleet) -> Self {
        let name = "linked-1";
        let server = galenahold_testkit::service::ServiceBuilder::new(name, "foundry-desk")
            .start()
            .expect("the server starts");
        let proxy = proxy::FaultProxy::start().expect("the proxy starts");
        let link = proxy.link(server.address()).expect("the link opens");
        let backends = fleet.instances().backends();
        let address = link.address();
        let incarnation = server.incarnation();
        let (stop, stopped) = sync::mpsc::channel();
        let announcer = std::thread::spawn(move || {
            for sequence in 1_u64.. {
                let announcement = json!({
                    "name": name, "incarnation": incarnation, "sequence": sequence,
                    "address": address, "data_centre": "dc-1", "kind": "service",
                    "service": "foundry-desk", "checks_fencing": false, "memory_bytes": 0,
                    "loaded": [], "cached": [], "leaving": false,
                    "load": { "running": 0, "queued": 0, "outstanding_tokens": 0 },
                });
                for backend in &backends {
                    // An instance that is down hears of the server from another.
                    let _ = harness::FleetCaller::new(*backend)
                        .timeout(time::Duration::from_secs(1))
                        .post("/v1/backend/announce", &announcement);
                }
                let pause = time::Duration::from_millis(300);
                if stopped.recv_timeout(pause) != Err(sync::mpsc::RecvTimeoutError::Timeout) {
                    return;
                }
            }
        });
        let linked = Self {
            server,
            link,
            _proxy: proxy,
            stop,
            announcer: Some(announcer),
        };
        harness::wait_until("the linked server is reached", || {
            fleet.caller(3).get("/foundry/records/linked").is_ok()
                && !linked.server.ledger().requests.is_empty()
        });
        linked
    }
}

impl Drop for LinkedServer {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.stop.send(());
        if let Some(announcer) = self.announcer.take() {
            let _ = announcer.join();
        }
    }
}
