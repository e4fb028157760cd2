//! Measures what the shared load view adds to the traffic of one entry instance, in bytes a second, and to the
//! leader's processor time.
//!
//! Simulates calls at uneven servers from many entry instances. Their reports go through the leader's table, and
//! the messages of the first instance are encoded twice, with and without the load view, on connections of their
//! own. Run it with `cargo run --release -p galenahold_wire --example load_view_cost`

use std::collections;
use std::pin;
use std::time;

use galenahold_domain::{amount, fleet, name};
use galenahold_routing::load;
use galenahold_wire::{codec, message};
use serde::Serialize;
use tokio_serde::Serializer;

/// Length of a step of the simulation.
const STEP_MS: u64 = 10;

/// Simulated time before the measurement, in which the estimates of speed settle.
const WARM_UP_MS: u64 = 15_000;

/// Simulated time of the measurement.
const MEASURED_MS: u64 = 60_000;

const REPORT_PERIOD_MS: u64 = 700;

/// Events of a response.
const EVENTS: u64 = 38;

/// Gaps between events in a measurement of speed.
const GAPS: u64 = 9;

/// A fleet and the way in which its first entry instance asks the leader.
struct CostScenario {
    title: &'static str,
    instances: usize,
    servers: usize,
    models: usize,
    calls_per_s: u64,
    /// Time between two replies to the first instance.
    watch_ms: u64,
    /// Time between two reports of the first instance.
    report_ms: u64,
    urgent: bool,
}

struct RunningCall {
    instance: usize,
    server: usize,
    model: usize,
    event_ms: u64,
    prompt_tokens: u32,
    begins_ms: u64,
    ends_ms: u64,
}

/// A generator of pseudo-random numbers (`SplitMix64`), so that runs are repeatable.
struct NumberSource(u64);

/// One direction of a connection.
struct SizedConnection {
    codec: codec::CompressionCodec,
    bytes: usize,
    messages: usize,
}

/// The traffic of the first instance.
struct TrafficCount {
    reports: SizedConnection,
    plain_reports: SizedConnection,
    replies: SizedConnection,
    plain_replies: SizedConnection,
    requests: SizedConnection,
    plain_requests: SizedConnection,
    values: usize,
    updates: usize,
    full_bytes: usize,
    /// Times of the sums at the leader.
    sum_times: Vec<time::Duration>,
    /// Times in which the leader built updates.
    update_times: Vec<time::Duration>,
}

fn main() {
    println!(
        "scenario added_B/s reports requests replies values/update updates/s full_update_B sum_us update_us"
    );
    let scenarios = [
        ("86-quiet", 86, 90, 293, 180, 700, 700, false),
        ("86-roster-changes", 86, 90, 293, 180, 400, 700, false),
        ("86-calls-wait", 86, 90, 293, 270, 120, 120, true),
        ("778-same-servers", 778, 90, 293, 180, 700, 700, false),
        (
            "778-servers-in-proportion",
            778,
            814,
            2_650,
            1_626,
            400,
            700,
            false,
        ),
        (
            "778-3800-servers",
            778,
            3_800,
            1_900,
            10_000,
            400,
            700,
            false,
        ),
    ];
    for (title, instances, servers, models, calls_per_s, watch_ms, report_ms, urgent) in scenarios {
        let scenario = CostScenario {
            title,
            instances,
            servers,
            models,
            calls_per_s,
            watch_ms,
            report_ms,
            urgent,
        };
        scenario.run();
    }
}

impl CostScenario {
    fn run(&self) {
        let mut random = NumberSource(7);
        let origin = time::Instant::now();
        let mut table = load::FleetLoadTable::new(3, origin);
        let mut reporters: Vec<_> = (0..self.instances)
            .map(|_| load::UseReporter::default())
            .collect();
        let mut calls: Vec<RunningCall> = Vec::new();
        let mut view = load::LoadView::default();
        let mut traffic = TrafficCount::new();
        for step in 0..(WARM_UP_MS + MEASURED_MS) / STEP_MS {
            let now_ms = step * STEP_MS;
            let now = origin + time::Duration::from_millis(now_ms);
            calls.retain(|call| call.ends_ms > now_ms);
            self.start_calls(now_ms, &mut calls, &mut random);
            record_paces(now_ms, &calls, &mut reporters, &mut random);
            if now_ms == WARM_UP_MS {
                traffic.start();
            }
            for (instance, reporter) in reporters.iter_mut().enumerate() {
                let period = if instance == 0 {
                    self.report_ms
                } else {
                    REPORT_PERIOD_MS
                };
                let phase = (instance as u64 * 37) % period / STEP_MS * STEP_MS;
                if now_ms % period != phase {
                    continue;
                }
                let own = calls.iter().filter(|call| call.instance == instance);
                let uses = reporter.take(uses(now_ms, own).into_iter(), now);
                table.record(&instance_name(instance), &uses, now);
                if instance == 0 {
                    view.record_report(&uses, now);
                    traffic.add_report(uses);
                }
            }
            if now_ms.is_multiple_of(self.watch_ms) {
                let started = time::Instant::now();
                if table.sum_up(|_| true, now) {
                    traffic.sum_times.push(started.elapsed());
                }
                traffic.add_request(view.version());
                let started = time::Instant::now();
                let update = table.update_since(view.version(), self.urgent, now);
                if update.is_some() {
                    traffic.update_times.push(started.elapsed());
                }
                if let Some(update) = &update {
                    assert!(view.apply(update, now), "the update fits the view");
                }
                traffic.add_reply(update);
            }
        }
        traffic.print(self.title);
    }

    fn start_calls(&self, now_ms: u64, calls: &mut Vec<RunningCall>, random: &mut NumberSource) {
        let mut count = self.calls_per_s * STEP_MS / 1_000;
        if random.below(1_000) < self.calls_per_s * STEP_MS % 1_000 {
            count += 1;
        }
        for _ in 0..count {
            // The lower of two numbers makes some servers busier than others.
            let server = random.index(self.servers).min(random.index(self.servers));
            let model = (server + random.index(3) * (1 + server / 18)) % self.models;
            let event_ms = (27 + model as u64 % 54) * (10 + server as u64 % 17) / 13;
            let begins_ms = now_ms + 100 + random.below(400);
            calls.push(RunningCall {
                instance: random.index(self.instances),
                server,
                model,
                event_ms,
                prompt_tokens: 220
                    + 1_240 * u32::from(random.below(3) > 0)
                    + u32::try_from(random.below(1_240)).unwrap_or(0),
                begins_ms,
                ends_ms: begins_ms + event_ms * EVENTS,
            });
        }
    }
}

impl TrafficCount {
    fn new() -> Self {
        Self {
            reports: SizedConnection::new(),
            plain_reports: SizedConnection::new(),
            replies: SizedConnection::new(),
            plain_replies: SizedConnection::new(),
            requests: SizedConnection::new(),
            plain_requests: SizedConnection::new(),
            values: 0,
            updates: 0,
            full_bytes: 0,
            sum_times: Vec::new(),
            update_times: Vec::new(),
        }
    }

    /// Forgets what was counted so far; the connections keep their compression state.
    fn start(&mut self) {
        for connection in [
            &mut self.reports,
            &mut self.plain_reports,
            &mut self.replies,
            &mut self.plain_replies,
            &mut self.requests,
            &mut self.plain_requests,
        ] {
            connection.bytes = 0;
            connection.messages = 0;
        }
        self.values = 0;
        self.updates = 0;
        self.sum_times.clear();
        self.update_times.clear();
    }

    fn add_report(&mut self, servers: Vec<load::ServerUse>) {
        let models = servers.iter().map(|used| message::ModelCount {
            service: "generate".into(),
            model: format!("model-{:04}", used.started_ms % 293).into(),
            arrivals: 1,
            waiting: 0,
            running: used.running,
            waiting_calls: Vec::new(),
        });
        let mut demand = message::ModelDemand {
            instance: instance_name(0),
            span_ms: REPORT_PERIOD_MS,
            models: models.collect(),
            adapters: Vec::new(),
            servers,
        };
        let call = |demand| message::ControlCall::Fleet(message::FleetCall::Demand(demand));
        self.reports.send(&call(demand.clone()));
        demand.servers = Vec::new();
        self.plain_reports.send(&call(demand));
    }

    fn add_request(&mut self, version: load::LoadVersion) {
        let request = |load_version| message::WatchRequest {
            card: message::InstanceProfile {
                name: instance_name(0),
                incarnation: amount::IncarnationNumber(1),
                address: "10.2.0.19:7500".parse().expect("the address is valid"),
                data_centre: "henllan".into(),
            },
            have: amount::RevisionNumber(12),
            age_ms: Some(version.version % 400),
            drain_version: 0,
            suspect_version: 0,
            roster: Some(fleet::RosterCursor {
                term: 3,
                version: version.version / 45,
                settled: true,
            }),
            load_version,
            leader_known: None,
            in_hurry: false,
            members_mark: 0x3b37_3d0c_7277_251a,
            hold_ms: 700,
        };
        self.requests.send(&request(Some(version)));
        self.plain_requests.send(&request(None));
    }

    fn add_reply(&mut self, update: Option<load::LoadUpdate>) {
        let is_full = update.as_ref().is_some_and(|update| update.is_full);
        self.values += update.as_ref().map_or(0, changed_values);
        self.updates += usize::from(update.is_some());
        let size = self.replies.send(&watch_reply(update));
        if is_full {
            self.full_bytes = size;
        }
        self.plain_replies.send(&watch_reply(None));
    }

    fn print(&self, title: &str) {
        let seconds = time::Duration::from_millis(MEASURED_MS).as_secs_f64();
        let added = |with: &SizedConnection, without: &SizedConnection| {
            (to_float(with.bytes) - to_float(without.bytes)) / seconds
        };
        let reports = added(&self.reports, &self.plain_reports);
        let requests = added(&self.requests, &self.plain_requests);
        let replies = added(&self.replies, &self.plain_replies);
        println!(
            "{title} {:.0} {reports:.0} {requests:.0} {replies:.0} {:.1} {:.2} {} {:.1} {:.1}",
            reports + requests + replies,
            to_float(self.values) / to_float(self.updates.max(1)),
            to_float(self.updates) / seconds,
            self.full_bytes,
            mean_us(&self.sum_times),
            mean_us(&self.update_times),
        );
    }
}

impl SizedConnection {
    fn new() -> Self {
        let switch = codec::CompressionSwitch::default();
        switch.enable();
        Self {
            codec: codec::CompressionCodec::new(switch, 1 << 24),
            bytes: 0,
            messages: 0,
        }
    }

    fn send<Message: Serialize>(&mut self, message: &Message) -> usize {
        let encoded = pin::Pin::new(&mut self.codec)
            .serialize(message)
            .expect("all messages can be encoded");
        self.bytes += encoded.len();
        self.messages += 1;
        encoded.len()
    }
}

impl NumberSource {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn index(&mut self, count: usize) -> usize {
        usize::try_from(self.below(count as u64)).expect("the index is below a count")
    }
}

fn changed_values(update: &load::LoadUpdate) -> usize {
    let columns = [
        &update.running,
        &update.unread,
        &update.cache,
        &update.paces,
    ];
    columns
        .into_iter()
        .map(|column| column.iter().count())
        .sum()
}

/// Returns what the calls of one instance use.
fn uses<'a>(now_ms: u64, calls: impl Iterator<Item = &'a RunningCall>) -> Vec<load::ServerUse> {
    let mut servers = collections::BTreeMap::new();
    for call in calls {
        let used = servers
            .entry(call.server)
            .or_insert_with(|| load::ServerUse {
                server: server_name(call.server),
                started_ms: started_ms(call.server),
                running: 0,
                unread_tokens: 0,
                cache_tokens: 0,
                paces: Vec::new(),
            });
        used.running += 1;
        used.cache_tokens += call.prompt_tokens + 180;
        if now_ms < call.begins_ms {
            used.unread_tokens += call.prompt_tokens;
        }
    }
    servers.into_values().collect()
}

/// Records the measurements that end in this step, with a random deviation of up to 5 %.
fn record_paces(
    now_ms: u64,
    calls: &[RunningCall],
    reporters: &mut [load::UseReporter],
    random: &mut NumberSource,
) {
    for call in calls {
        let span = call.event_ms * GAPS;
        let Some(passed) = now_ms.checked_sub(call.begins_ms) else {
            continue;
        };
        if passed / span == passed.saturating_sub(STEP_MS) / span {
            continue;
        }
        let event_us = call.event_ms * (950 + random.below(100));
        let sample = load::PaceSample {
            model: format!("model-{:04}", call.model).into(),
            event_us: u32::try_from(event_us).expect("an event takes less than an hour"),
            events: 9,
        };
        let server = server_name(call.server);
        reporters[call.instance].record_pace(&server, started_ms(call.server), sample);
    }
}

fn watch_reply(loads: Option<load::LoadUpdate>) -> message::WatchReply {
    message::WatchReply::Current {
        age_ms: 0,
        held_ms: 400,
        revision: amount::RevisionNumber(12),
        update: message::ConfigurationUpdate::Nothing,
        drains: None,
        suspects: None,
        roster: None,
        loads: loads.map(Box::new),
        followers: 86,
        members: Vec::new(),
        members_mark: 0x3b37_3d0c_7277_251a,
        leader: Some("10.2.0.3:7500".into()),
        term: 3,
    }
}

fn instance_name(number: usize) -> name::InstanceName {
    format!("10.2.{}.{}:7500", number / 200, number % 200).into()
}

fn server_name(number: usize) -> name::ServerName {
    format!("engine-{number:04}").into()
}

fn started_ms(number: usize) -> u64 {
    1_796_364_491_313 + number as u64 * 7_919
}

fn mean_us(times: &[time::Duration]) -> f64 {
    let total: time::Duration = times.iter().sum();
    total.as_secs_f64() * 1e6 / to_float(times.len().max(1))
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn to_float(number: usize) -> f64 {
    number as f64
}
