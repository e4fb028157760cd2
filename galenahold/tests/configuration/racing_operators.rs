//! Two operators change the same thing under the same base.

use std::thread;
use std::time;

use galenahold_testkit::harness;
use serde_json::{Value, json};

/// How long anything that is waited for may take.
const LIMIT: time::Duration = time::Duration::from_mins(1);
/// Times that the operators race.
const ROUNDS: u64 = 200;
/// The round in which the leader is killed.
const KILL_ROUND: u64 = 100;
/// The names of the operators.
const NAMES: [&str; 2] = ["asha", "juma"];
/// Their credentials.
const CREDENTIALS: [&str; 2] = ["credential-of-asha", "credential-of-juma"];
/// The SHA-256 of the credentials.
const DIGESTS: [&str; 2] = [
    "d261f88d46a11f5787644744ebc441be995527492eefec4633d8defed54b6184",
    "9405cfbf262679b686570512b7bf6dd9a710ab3ad66a9d4971844db79a18f3b2",
];

/// A confirmation that one operator sends, also again.
struct Confirmation {
    probe: harness::FleetProbe,
    instance: usize,
    body: Value,
}

impl Confirmation {
    /// Returns the instance after the one that it was sent to first.
    fn next_instance(&self) -> usize {
        (self.instance + 1) % self.probe.instances()
    }

    /// Sends it through one instance after the other until the answer is final.
    fn send(&self, first: usize) -> harness::CallerAnswer {
        let deadline = time::Instant::now() + LIMIT;
        let mut turn = first;
        loop {
            let answer = self.probe.post(turn, "/v1/plans/confirm", &self.body);
            if let Ok(answer) = &answer
                && answer.status < 500
            {
                return answer.clone();
            }
            assert!(time::Instant::now() < deadline, "{answer:?}");
            turn = (turn + 1) % self.probe.instances();
        }
    }
}

#[test]
fn one_of_two_racing_operators_wins_each_round_and_resends_get_the_first_answer() {
    let _permit = harness::FleetPermit::take(1);
    let operators =
        [0, 1].map(|one| json!({ "name": NAMES[one], "credential_sha256": DIGESTS[one] }));
    let mut fleet = harness::FleetBuilder::default()
        .control(3)
        .entries(1)
        .settings(&json!({ "operators": operators, "timing": { "notice_ms": 300 } }))
        .start_ready(LIMIT)
        .expect("the fleet starts");
    let probe = harness::FleetProbe::new(&fleet);
    let probes = CREDENTIALS.map(|credential| probe.clone().credential(credential));
    let first = probes[0]
        .confirm(0, "first", &intent(1))
        .expect("an answer");
    assert_eq!(first.status, 200, "{}", first.body);
    let base = first.json()["revision"].as_u64().expect("a revision");
    let watch = harness::RevisionWatch::start(&probes[0]);
    let mut rate = 1;
    let mut killed = None;
    for round in 0..ROUNDS {
        if round == KILL_ROUND {
            let leader = probes[0].leader(3).expect("a leader");
            fleet.instances_mut()[leader].kill();
            killed = Some(leader);
        }
        let rates = [2 * round + 2, 2 * round + 3];
        let confirmations =
            [0, 1].map(|one| confirmation(&probes[one], one, round, base + round, rates[one]));
        let answers = race(&confirmations);
        let winner = usize::from(answers[1].status == 200);
        let loser = 1 - winner;
        assert_eq!(answers[winner].status, 200, "{answers:?}");
        assert_eq!(answers[loser].status, 409, "{answers:?}");
        assert_eq!(answers[winner].json()["revision"], base + round + 1);
        let conflict = &answers[loser].json()["error"];
        assert_eq!(conflict["kind"], "conflict", "{conflict}");
        let message = conflict["message"].as_str().expect("a message");
        assert!(message.contains(NAMES[winner]), "{message}");
        for (confirmation, answer) in confirmations.iter().zip(&answers) {
            let again = confirmation.send(confirmation.next_instance());
            assert_eq!((again.status, &again.body), (answer.status, &answer.body));
        }
        rate = rates[winner];
        if let Some(leader) = killed.filter(|_| round == KILL_ROUND + 10) {
            fleet.instances_mut()[leader].start().expect("a restart");
        }
    }
    fleet.wait_ready(LIMIT).expect("all are ready");
    let shown = probes[1].get(3, "/v1/intent").expect("an answer").json();
    assert_eq!(shown["revision"], base + ROUNDS, "{shown}");
    assert_eq!(
        shown["intent"]["teams"][0]["rate_tokens_per_s"], rate,
        "{shown}"
    );
    assert_eq!(watch.finish(), []);
}

/// Sends both confirmations at once.
fn race(confirmations: &[Confirmation; 2]) -> [harness::CallerAnswer; 2] {
    thread::scope(|scope| {
        let senders = [0, 1].map(|one| {
            let confirmation = &confirmations[one];
            scope.spawn(move || confirmation.send(confirmation.instance))
        });
        senders.map(|sender| sender.join().expect("an answer"))
    })
}

/// Makes one operator's plan of a round, which is not confirmed yet.
fn confirmation(
    probe: &harness::FleetProbe,
    operator: usize,
    round: u64,
    base: u64,
    rate: u64,
) -> Confirmation {
    // Each operator and round uses another pair of instances.
    let instance = (operator * 2 + usize::try_from(round).expect("fits")) % probe.instances();
    let intent = intent(rate);
    let mut plan = Value::Null;
    let mut turn = instance;
    harness::wait_within("a plan", LIMIT, || {
        let answer = probe.post(turn, "/v1/plans", &json!({ "intent": intent }));
        turn = (turn + 1) % probe.instances();
        answer.is_ok_and(|answer| {
            plan = answer.json();
            answer.status == 200
        })
    });
    assert_eq!(plan["base"], base, "both operators plan on the same base");
    Confirmation {
        probe: probe.clone(),
        instance,
        body: json!({
            "request": format!("{}-{round}", NAMES[operator]),
            "base": plan["base"],
            "digest": plan["digest"],
            "intent": intent,
        }),
    }
}

fn intent(rate_tokens_per_s: u64) -> Value {
    json!({
        "teams": [{
            "name": "councils", "rate_tokens_per_s": rate_tokens_per_s, "burst_tokens": 400_000,
        }],
    })
}
