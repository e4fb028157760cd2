//! Retries of a call whose adapter is refused, and when the call gives up.

use std::time;

use galenahold_domain::name;
use galenahold_routing::fleet;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn server(number: u32) -> name::ServerName {
    name::ServerName::from(format!("s{number}"))
}

#[test]
fn call_keeps_retrying_until_a_new_leader_gives_orders() {
    let timeout = 2 * SECOND;
    let orders_from = SECOND * 3 / 2;
    let (mut retries, mut now, mut number) =
        (fleet::AdapterRetries::default(), time::Duration::ZERO, 0);
    while now < orders_from {
        number += 1;
        let retry_in = Some(orders_from.saturating_sub(now));
        match retries.refuse(server(number % 5), retry_in, timeout.saturating_sub(now)) {
            fleet::AdapterStep::TryOther => now += time::Duration::from_millis(4),
            fleet::AdapterStep::Backoff(backoff) => now += backoff,
            fleet::AdapterStep::GiveUp(_) => panic!("the call gave up after {now:?}"),
        }
    }
    assert!(number < 30, "the call asked for its adapter {number} times");
}

#[test]
fn call_backs_off_before_it_asks_its_only_engine_again() {
    let mut retries = fleet::AdapterRetries::default();
    let retry_in = Some(SECOND);
    let first = retries.refuse(server(1), retry_in, 2 * SECOND);
    assert_eq!(first, fleet::AdapterStep::TryOther);
    let second = retries.refuse(server(1), retry_in, 2 * SECOND);
    assert!(matches!(second, fleet::AdapterStep::Backoff(_)));
    assert!(retries.refused().is_empty());
}

#[test]
fn call_gives_up_when_the_adapter_would_come_after_its_deadline() {
    let mut retries = fleet::AdapterRetries::default();
    for number in 0..2 {
        let step = retries.refuse(server(number), Some(8 * SECOND), 2 * SECOND);
        assert_eq!(step, fleet::AdapterStep::TryOther);
    }
    let step = retries.refuse(server(2), Some(6 * SECOND), 2 * SECOND);
    assert_eq!(step, fleet::AdapterStep::GiveUp(Some(6 * SECOND)));
}

#[test]
fn call_gives_up_when_no_engine_ever_takes_the_adapter() {
    let mut retries = fleet::AdapterRetries::default();
    let steps: Vec<_> = (0..3)
        .map(|number| retries.refuse(server(number), None, 2 * SECOND))
        .collect();
    assert_eq!(steps[2], fleet::AdapterStep::GiveUp(None));
}
