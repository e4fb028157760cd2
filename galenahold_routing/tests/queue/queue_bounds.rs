//! The queue is bounded by items, bytes and deadlines, and each item leaves it once.

use std::time;

use galenahold_domain::amount;
use galenahold_routing::queue;
use proptest::prelude::*;

use crate::fair_share::entry;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn flood_of_one_team_leaves_room_for_another() {
    let now = time::Instant::now();
    let limits = queue::QueueLimits::default().with_max_items(100);
    let mut queue = queue::FairQueue::new(limits);
    let refused = (0..1_000)
        .filter(|_| queue.push(entry("red", 1, now), (), now).is_err())
        .count();
    assert!(refused > 0);
    assert!(queue.push(entry("blue", 1, now), (), now).is_ok());
}

#[test]
fn bytes_of_waiting_items_are_bounded() {
    let now = time::Instant::now();
    let limits = queue::QueueLimits::default().with_max_bytes(amount::ByteCount(1_000));
    let mut queue = queue::FairQueue::new(limits);
    let mut large = entry("red", 1, now);
    large.bytes = amount::ByteCount(1_001);
    assert!(queue.push(large, (), now).is_err());
}

#[test]
fn item_whose_deadline_has_passed_is_returned_as_expired() {
    let now = time::Instant::now();
    let mut queue = queue::FairQueue::new(queue::QueueLimits::default());
    let mut due = entry("red", 1, now);
    due.deadline = now + SECOND;
    assert!(queue.push(due, 7, now).is_ok());
    assert!(queue.expired(now).is_none());
    assert_eq!(queue.next_deadline(), Some(now + SECOND));
    let expired = queue
        .expired(now + SECOND)
        .expect("the deadline of the item has passed");
    assert_eq!(expired.item, 7);
    assert!(queue.pop(now, |_, _| true).is_none());
}

#[derive(Debug, Clone)]
enum QueueStep {
    Push {
        team: usize,
        tokens: u64,
        seconds: u64,
    },
    Pop,
    Cancel {
        nth: usize,
    },
    Expire {
        seconds: u64,
    },
}

fn any_step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0_usize..4, 1_u64..100, 1_u64..60)
            .prop_map(|(team, tokens, seconds)| QueueStep::Push { team, tokens, seconds }),
        2 => Just(QueueStep::Pop),
        1 => (0_usize..20).prop_map(|nth| QueueStep::Cancel { nth }),
        1 => (0_u64..5).prop_map(|seconds| QueueStep::Expire { seconds }),
    ]
}

proptest! {
    #[test]
    fn each_pushed_item_leaves_exactly_once(steps in prop::collection::vec(any_step(), 1..300)) {
        let mut now = time::Instant::now();
        let mut queue = queue::FairQueue::new(queue::QueueLimits::default().with_max_items(50));
        let mut tickets = Vec::new();
        let mut left = Vec::new();
        let mut pushed = 0;
        for step in steps {
            match step {
                QueueStep::Push { team, tokens, seconds } => {
                    let mut entry = entry(&format!("team-{team}"), tokens, now);
                    entry.deadline = now + time::Duration::from_secs(seconds);
                    if let Ok(ticket) = queue.push(entry, pushed, now) {
                        tickets.push(ticket);
                        pushed += 1;
                    }
                }
                QueueStep::Pop => left.extend(queue.pop(now, |_, _| true).map(|item| item.item)),
                QueueStep::Cancel { nth } => {
                    if let Some(ticket) = tickets.get(nth) {
                        left.extend(queue.cancel(*ticket).map(|item| item.item));
                    }
                }
                QueueStep::Expire { seconds } => {
                    now += time::Duration::from_secs(seconds);
                    while let Some(item) = queue.expired(now) {
                        left.push(item.item);
                    }
                }
            }
            prop_assert_eq!(queue.len() + left.len(), pushed);
        }
        left.extend(std::iter::from_fn(|| queue.pop(now, |_, _| true)).map(|item| item.item));
        left.sort_unstable();
        prop_assert_eq!(left, (0..pushed).collect::<Vec<_>>());
        prop_assert_eq!(queue.waiting_tokens(), amount::TokenCount::ZERO);
    }
}
