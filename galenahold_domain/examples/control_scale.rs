//! Measures the replicated control state at a given size: time per command, snapshots and memory.
//!
//! Run it in release mode, and once per size, since memory is measured for the whole process:
//!
//! ```text
//! cargo run --release -p galenahold_domain --example control_scale -- 1900 9600 10000 90000
//! ```
//!
//! The arguments are the numbers of models, adapters, keys and orders.

use std::env;
use std::fs;
use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_domain::key;
use galenahold_domain::name;
use galenahold_domain::order;
use galenahold_domain::placement;

const TEAMS: usize = 20;
const SERVERS: usize = 300;
const ANSWER_BYTES: usize = 200;
const MODEL_BYTES: u64 = 1_000;
const SERVER_BYTES: u64 = 1_000_000;
const PAGE_BYTES: u64 = 4_096;
const LOOKUPS: usize = 100_000;
const INCARNATION: amount::IncarnationNumber = amount::IncarnationNumber(1);

/// The size of the measured state.
#[derive(Debug, Clone, Copy)]
struct FleetSize {
    models: usize,
    adapters: usize,
    keys: usize,
    orders: usize,
}

/// A control state with the index of its latest log entry, and a view held by a reader.
struct MeasuredState {
    state: control::ControlState,
    reader: sync::Arc<control::ConfigurationView>,
    index: u64,
}

impl MeasuredState {
    fn new() -> Self {
        let state = control::ControlState::new();
        let reader = state.view();
        Self {
            state,
            reader,
            index: 0,
        }
    }

    /// Applies a command while a reader holds the view, so that the state has to copy the view
    /// instead of changing it in place.
    fn apply(&mut self, command: &control::ControlCommand) -> control::ControlOutcome {
        self.index += 1;
        let fence = amount::FencingNumber {
            term: 1,
            index: self.index,
        };
        let outcome = self.state.apply(fence, command);
        self.reader = self.state.view();
        outcome
    }

    fn confirm(&mut self, request: &str, wanted: &intent::FleetIntent) -> time::Duration {
        let base = self.state.revision();
        let plan = intent::IntentPlan::between(base, &self.state.view().intent, wanted);
        let command = control::ControlCommand::ConfirmPlan {
            request: operator_request(request),
            base,
            intent: wanted.clone(),
            digest: plan.digest,
            now_ms: 0,
        };
        let start = time::Instant::now();
        let outcome = self.apply(&command);
        let duration = start.elapsed();
        assert!(
            matches!(outcome, control::ControlOutcome::Changed { .. }),
            "{outcome:?}"
        );
        duration
    }
}

fn operator_request(request: &str) -> control::OperatorRequest {
    control::OperatorRequest {
        operator: name::OperatorName::from("operator"),
        request: name::RequestId::from(request),
    }
}

fn team_name(number: usize) -> String {
    format!("team-{:02}", number % TEAMS)
}

fn intent(models: usize, adapters: usize) -> intent::FleetIntent {
    let mut document = serde_json::json!({"teams": [], "models": [], "services": []});
    document["teams"] = (0..TEAMS)
        .map(|team| {
            serde_json::json!({"name": team_name(team), "rate_tokens_per_s": 1_000, "burst_tokens": 20_000})
        })
        .collect();
    document["models"] = (0..models)
        .map(|model| {
            let adapter_numbers = (model..adapters).step_by(models);
            let adapters: Vec<serde_json::Value> = adapter_numbers
                .map(|adapter| serde_json::json!({"name": format!("adapter-{adapter:05}"), "bytes": 10}))
                .collect();
            serde_json::json!({"name": format!("model-{model:04}"), "version": "v1",
                "bytes": MODEL_BYTES, "max_replicas": 4, "adapters": adapters})
        })
        .collect();
    let offered: Vec<String> = (0..models)
        .map(|model| format!("model-{model:04}"))
        .collect();
    if models > 0 {
        document["services"] = serde_json::json!([{"name": "drafts", "kind": "models",
            "models": offered, "teams": (0..TEAMS).map(team_name).collect::<Vec<_>>()}]);
    }
    intent::FleetIntent::from_json(&document.to_string()).expect("the document is a valid intent")
}

fn caller_key(number: usize) -> key::CallerKey {
    let mut random = [0; key::CallerKey::RANDOM_BYTES];
    random[..8].copy_from_slice(&number.wrapping_mul(0x9e37_79b9).to_le_bytes());
    key::CallerKey::generate(&random)
}

fn give_command(number: usize, base: amount::RevisionNumber) -> control::ControlCommand {
    let team = name::TeamName::from(team_name(number));
    let record = caller_key(number).record(team, &[7; key::CallerKey::SALT_BYTES]);
    control::ControlCommand::GiveKey {
        request: operator_request(&format!("give-{number}")),
        base,
        record,
        now_ms: 0,
    }
}

fn order_key(number: usize) -> order::OrderKey {
    order::OrderKey {
        team: name::TeamName::from(team_name(number)),
        service: name::ServiceName::from("foundry-desk"),
        key: format!("0190b5a2-7c1e-7d3a-9f00-{number:012}"),
    }
}

fn start_command(number: usize) -> control::ControlCommand {
    control::ControlCommand::StartOrder {
        key: order_key(number),
        digest: format!("{number:064x}"),
        instance: name::InstanceName::from("entry-1"),
        incarnation: INCARNATION,
        call: number as u64,
        now_ms: number as u64,
    }
}

fn finish_command(number: usize) -> control::ControlCommand {
    control::ControlCommand::FinishOrder {
        key: order_key(number),
        attempt: 1,
        outcome: order::OrderOutcome::Answered(order::OrderAnswer {
            status: 201,
            content_type: Some("application/json".to_owned()),
            body: vec![b'x'; ANSWER_BYTES],
            truncated: false,
        }),
        now_ms: number as u64,
    }
}

fn reserve_command(number: usize) -> control::ControlCommand {
    control::ControlCommand::ReserveMemory {
        server: name::ServerName::from(format!("server-{:03}", number % SERVERS)),
        incarnation: INCARNATION,
        capacity: amount::ByteCount(SERVER_BYTES),
        artifact: placement::ReplicaArtifact {
            model: name::ModelName::from(format!("model-{number:04}")),
            version: name::VersionName::from("v1"),
            adapter: None,
        },
        bytes: amount::ByteCount(MODEL_BYTES),
        sender: name::InstanceName::from("control-1"),
        sender_incarnation: INCARNATION,
    }
}

fn loaded_command(id: placement::ReservationId) -> control::ControlCommand {
    control::ControlCommand::AdvanceReservation {
        id,
        state: placement::ReservationState::Loaded,
        sender: name::InstanceName::from("control-1"),
        sender_incarnation: INCARNATION,
    }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn report_time(label: &str, total: time::Duration, count: usize) {
    let nanos = total.as_nanos() / (count.max(1) as u128);
    println!("{label:<44} {:>12}.{:03} us", nanos / 1_000, nanos % 1_000);
}

fn report_bytes(label: &str, bytes: u64, count: usize) {
    println!(
        "{label:<44} {bytes:>12} B, {} B each",
        bytes / (count.max(1) as u64)
    );
}

/// Applies commands one after the other and reports the mean time per command.
fn apply_all(
    measured: &mut MeasuredState,
    label: &str,
    commands: impl Iterator<Item = control::ControlCommand>,
) {
    let mut total = time::Duration::ZERO;
    let mut count = 0;
    for command in commands {
        let start = time::Instant::now();
        let outcome = measured.apply(&command);
        total += start.elapsed();
        count += 1;
        assert!(
            !matches!(outcome, control::ControlOutcome::Invalid { .. }),
            "{outcome:?}"
        );
    }
    report_time(label, total, count);
}

fn fill_keys(measured: &mut MeasuredState, keys: usize) {
    let before = resident_bytes();
    let base = measured.state.revision();
    let commands = (0..keys).map(|number| give_command(number, base));
    apply_all(measured, "apply GiveKey", commands);
    let used = resident_bytes() - before;
    report_bytes("memory of keys with history and ledger", used, keys);
}

fn fill_orders(measured: &mut MeasuredState, orders: usize) {
    let before = resident_bytes();
    apply_all(measured, "apply StartOrder", (0..orders).map(start_command));
    let started = resident_bytes();
    report_bytes("memory of running orders", started - before, orders);
    apply_all(
        measured,
        "apply FinishOrder",
        (0..orders).map(finish_command),
    );
    let used = resident_bytes() - started;
    report_bytes("memory added by their answers", used, orders);
    let statistics = measured.state.order_statistics();
    assert_eq!(statistics.usage.records, orders);
}

fn fill_intent(measured: &mut MeasuredState, size: FleetSize) {
    let before = resident_bytes();
    let wanted = intent(size.models, size.adapters);
    let duration = measured.confirm("models", &wanted);
    report_time("apply ConfirmPlan, all models new", duration, 1);
    drop(wanted);
    let used = resident_bytes() - before;
    let parts = size.models + size.adapters;
    report_bytes("memory of models and adapters", used, parts);
    let mut wanted = intent(size.models, size.adapters);
    wanted.models[0].max_replicas = 5;
    let duration = measured.confirm("one", &wanted);
    report_time("apply ConfirmPlan, one model changed", duration, 1);
    wanted.models[0].max_replicas = 6;
    confirm_delta(measured, &wanted);
}

fn confirm_delta(measured: &mut MeasuredState, wanted: &intent::FleetIntent) {
    let current = measured.state.view();
    let plan = intent::IntentPlan::between(current.revision, &current.intent, wanted);
    let start = time::Instant::now();
    let command = control::ControlCommand::confirm(
        operator_request("delta"),
        current.revision,
        &current.intent,
        wanted,
        plan.digest,
        0,
    );
    report_time("make ConfirmDelta, one model changed", start.elapsed(), 1);
    let entry = command.encode();
    report_bytes("entry of ConfirmDelta", entry.len() as u64, 1);
    let start = time::Instant::now();
    let outcome = measured.apply(&command);
    report_time("apply ConfirmDelta", start.elapsed(), 1);
    assert!(
        matches!(outcome, control::ControlOutcome::Changed { .. }),
        "{outcome:?}"
    );
}

fn fill_reservations(measured: &mut MeasuredState, models: usize) {
    let before = resident_bytes();
    let mut reserve = time::Duration::ZERO;
    let mut advance = time::Duration::ZERO;
    for number in 0..models {
        let command = reserve_command(number);
        let start = time::Instant::now();
        let outcome = measured.apply(&command);
        reserve += start.elapsed();
        let control::ControlOutcome::Reserved(reservation) = outcome else {
            panic!("{outcome:?}");
        };
        let command = loaded_command(reservation.id);
        let start = time::Instant::now();
        measured.apply(&command);
        advance += start.elapsed();
    }
    report_time("apply ReserveMemory", reserve, models);
    report_time("apply AdvanceReservation", advance, models);
    let used = resident_bytes().saturating_sub(before);
    report_bytes("memory of reservations", used, models);
}

fn measure_entries(measured: &MeasuredState, size: FleetSize) {
    let command = control::ControlCommand::ConfirmPlan {
        request: operator_request("entry"),
        base: measured.state.revision(),
        intent: intent(size.models, size.adapters),
        digest: "0".repeat(64),
        now_ms: 0,
    };
    let start = time::Instant::now();
    let bytes = command.encode();
    report_time("encode ConfirmPlan", start.elapsed(), 1);
    let start = time::Instant::now();
    let decoded = control::ControlCommand::decode(&bytes);
    report_time("decode ConfirmPlan", start.elapsed(), 1);
    assert!(decoded.is_ok());
    report_bytes("entry of ConfirmPlan", bytes.len() as u64, 1);
    let entry = give_command(0, measured.state.revision()).encode();
    report_bytes("entry of GiveKey", entry.len() as u64, 1);
    report_bytes(
        "entry of StartOrder",
        start_command(0).encode().len() as u64,
        1,
    );
}

fn measure_index(measured: &mut MeasuredState, size: FleetSize) {
    let start = time::Instant::now();
    let index = control::ConfigurationIndex::new(measured.state.view());
    report_time("build the index", start.elapsed(), 1);
    let base = measured.state.revision();
    measured.apply(&give_command(size.keys, base));
    let start = time::Instant::now();
    let index = index.with_view(measured.state.view());
    report_time("renew the index after a key", start.elapsed(), 1);
    let key = caller_key(size.keys / 2);
    let start = time::Instant::now();
    let admitted = (0..LOOKUPS).filter(|_| index.admitted_team(&key).is_some());
    assert_eq!(admitted.count(), LOOKUPS);
    report_time("admit a key", start.elapsed(), LOOKUPS);
    let team = name::TeamName::from(team_name(0));
    let start = time::Instant::now();
    let found = (0..LOOKUPS).filter(|number| {
        let name = format!("adapter-{:05}", number % size.adapters);
        index.service_for_model(&name, Some(&team)).is_some()
    });
    assert_eq!(found.count(), LOOKUPS);
    report_time("find the service of an adapter", start.elapsed(), LOOKUPS);
}

fn measure_snapshot(measured: &MeasuredState) {
    let start = time::Instant::now();
    let bytes = measured.state.snapshot();
    report_time("write a snapshot", start.elapsed(), 1);
    report_bytes("snapshot", bytes.len() as u64, 1);
    let before = resident_bytes();
    let start = time::Instant::now();
    let restored = control::ControlState::restore(&bytes).expect("the snapshot restores");
    report_time("restore a snapshot", start.elapsed(), 1);
    report_bytes("memory of the restored state", resident_bytes() - before, 1);
    assert_eq!(restored.snapshot(), bytes);
    let start = time::Instant::now();
    let copy = measured.state.clone();
    report_time("clone the state", start.elapsed(), 1);
    drop(copy);
}

fn main() {
    let mut arguments = env::args()
        .skip(1)
        .map(|text| text.parse().expect("each argument is a number"));
    let mut next_argument = |default| arguments.next().unwrap_or(default);
    let size = FleetSize {
        models: next_argument(1_900),
        adapters: next_argument(9_600),
        keys: next_argument(10_000),
        orders: next_argument(90_000),
    };
    println!("{size:?}");
    let mut measured = MeasuredState::new();
    measured.confirm("teams", &intent(0, 0));
    fill_keys(&mut measured, size.keys);
    fill_orders(&mut measured, size.orders);
    fill_intent(&mut measured, size);
    fill_reservations(&mut measured, size.models);
    measure_entries(&measured, size);
    measure_index(&mut measured, size);
    measure_snapshot(&measured);
    println!("{:<44} {:>12} B", "resident at the end", resident_bytes());
}
