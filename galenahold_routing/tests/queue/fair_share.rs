//! Teams are served by weight, regardless of the load of other teams.

use std::collections;
use std::time;

use galenahold_domain::{amount, name};
use galenahold_routing::queue;
use proptest::prelude::*;

const FAR: time::Duration = time::Duration::from_hours(1);

pub(crate) fn entry(team: &str, tokens: u64, now: time::Instant) -> queue::QueueEntry {
    queue::QueueEntry {
        team: name::TeamName::from(team),
        tokens: amount::TokenCount(tokens),
        bytes: amount::ByteCount(1),
        priority: 0,
        deadline: now + FAR,
    }
}

fn push<T>(queue: &mut queue::FairQueue<T>, entry: queue::QueueEntry, item: T, now: time::Instant) {
    let pushed = queue.push(entry, item, now);
    assert!(pushed.is_ok(), "the queue has room");
}

#[test]
fn team_with_a_backlog_does_not_delay_another_team() {
    let now = time::Instant::now();
    let mut queue = queue::FairQueue::new(queue::QueueLimits::default());
    for index in 0..100 {
        push(&mut queue, entry("red", 100, now), index, now);
    }
    push(&mut queue, entry("blue", 100, now), 1_000, now);
    let served: Vec<_> = std::iter::from_fn(|| queue.pop(now, |_, _| true))
        .map(|item| item.entry.team)
        .take(2)
        .collect();
    assert!(served.contains(&name::TeamName::from("blue")), "{served:?}");
}

#[test]
fn lower_priority_number_goes_first_within_a_team() {
    let now = time::Instant::now();
    let mut queue = queue::FairQueue::new(queue::QueueLimits::default());
    push(&mut queue, entry("red", 10, now), "later", now);
    let mut urgent = entry("red", 10, now);
    urgent.priority = -1;
    push(&mut queue, urgent, "first", now);
    let first = queue.pop(now, |_, _| true).expect("two items wait");
    assert_eq!(first.item, "first");
}

#[test]
fn team_without_capacity_does_not_block_the_next() {
    let now = time::Instant::now();
    let mut queue = queue::FairQueue::new(queue::QueueLimits::default());
    push(&mut queue, entry("red", 10, now), 1, now);
    push(&mut queue, entry("blue", 10, now), 2, now);
    let next = queue.pop(now, |entry, _| entry.team.as_str() == "blue");
    assert_eq!(next.map(|item| item.item), Some(2));
    assert_eq!(queue.len(), 1);
}

proptest! {
    #[test]
    fn backlogged_teams_are_served_by_weight_within_one_item_each(
        weights in prop::collection::vec(1_u32..8, 2..6),
        sizes in prop::collection::vec(1_u64..500, 400),
    ) {
        let now = time::Instant::now();
        let mut queue = queue::FairQueue::new(queue::QueueLimits::default().with_max_items(1 << 20));
        for (index, weight) in weights.iter().enumerate() {
            let team = name::TeamName::from(format!("team-{index}"));
            queue.set_weight(&team, f64::from(*weight));
            for tokens in &sizes {
                push(&mut queue, entry(&team, *tokens, now), (), now);
            }
        }
        let mut served: collections::BTreeMap<name::TeamName, u64> = collections::BTreeMap::new();
        for _ in 0..sizes.len() / 2 {
            let item = queue.pop(now, |_, ()| true).expect("all teams are backlogged");
            *served.entry(item.entry.team).or_default() += item.entry.tokens.0;
        }
        let largest = *sizes.iter().max().expect("the list of sizes is not empty");
        let shares = weights.iter().enumerate().map(|(index, weight)| {
            let tokens = served.get(format!("team-{index}").as_str()).copied().unwrap_or(0);
            (tokens / u64::from(*weight), largest / u64::from(*weight) + 1)
        });
        let shares: Vec<_> = shares.collect();
        for (left, left_slack) in &shares {
            for (right, right_slack) in &shares {
                prop_assert!(left.abs_diff(*right) <= left_slack + right_slack + 1);
            }
        }
    }
}
