//! Start-time fair queueing over teams.

use std::collections;
use std::time;

use galenahold_domain::{amount, name};

use crate::queue;
use crate::queue::team_subqueue::{TeamPosition, TeamSubqueue, VirtualTime};

const MIN_WEIGHT: f64 = 0.001;

/// Retry time of a refused item while the service rate is unknown.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// A queue that shares capacity fairly between teams, by start-time fair queueing over tokens.
///
/// One queue serves one pool of capacity, such as the replicas of a model. Each team has a virtual start
/// time; the team with the lowest one is served next, and its start time advances by the item's tokens
/// divided by the team's weight. A team may hold at most as much of the queue as is still free, so one
/// team alone never shuts out the others. All operations take logarithmic time in items and linear time
/// in waiting teams.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: queue::QueueLimits,
    items: slotmap::SlotMap<queue::QueueTicket, WaitingItem<T>>,
    subqueues: collections::BTreeMap<name::TeamName, TeamSubqueue>,
    weights: collections::BTreeMap<name::TeamName, f64>,
    turns: collections::BTreeSet<TeamTurn>,
    deadlines: collections::BTreeSet<DeadlineTurn>,
    virtual_time: VirtualTime,
    next_sequence: u64,
    bytes: u64,
    tokens: u64,
    rate: queue::ServiceRate,
}

#[derive(Debug)]
struct WaitingItem<T> {
    entry: queue::QueueEntry,
    position: TeamPosition,
    queued_at: time::Instant,
    item: T,
}

/// The position of a team among the waiting teams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TeamTurn {
    start: VirtualTime,
    team: name::TeamName,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DeadlineTurn {
    deadline: time::Instant,
    ticket: queue::QueueTicket,
}

impl<T> FairQueue<T> {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(limits: queue::QueueLimits) -> Self {
        Self {
            limits,
            items: slotmap::SlotMap::with_key(),
            subqueues: collections::BTreeMap::new(),
            weights: collections::BTreeMap::new(),
            turns: collections::BTreeSet::new(),
            deadlines: collections::BTreeSet::new(),
            virtual_time: VirtualTime(0.0),
            next_sequence: 0,
            bytes: 0,
            tokens: 0,
            rate: queue::ServiceRate::default(),
        }
    }

    /// Sets a team's weight, which applies from its next item on; the default weight is 1.
    pub fn set_weight(&mut self, team: &name::TeamName, weight: f64) {
        let weight = weight.max(MIN_WEIGHT);
        self.weights.insert(team.clone(), weight);
        if let Some(subqueue) = self.subqueues.get_mut(team) {
            subqueue.weight = weight;
        }
    }

    /// Queues an item.
    ///
    /// # Errors
    ///
    /// Returns the item with the reason if the team's part of the queue is full or the deadline has
    /// passed.
    pub fn push(
        &mut self,
        entry: queue::QueueEntry,
        item: T,
        now: time::Instant,
    ) -> Result<queue::QueueTicket, queue::RefusedItem<T>> {
        if entry.deadline <= now {
            let refusal = queue::QueueRefusal::DeadlinePassed;
            return Err(queue::RefusedItem { refusal, item });
        }
        if !self.has_room(&entry) {
            let retry_after = self.retry_after(&entry);
            let refusal = queue::QueueRefusal::Full { retry_after };
            return Err(queue::RefusedItem { refusal, item });
        }
        if self.items.is_empty() {
            self.rate.resume(now);
        }
        Ok(self.insert(entry, item, now))
    }

    /// Removes and returns the next item for which there is capacity.
    ///
    /// Only the first item of each team is considered, so a team's items keep their order.
    pub fn pop(
        &mut self,
        now: time::Instant,
        mut has_capacity: impl FnMut(&queue::QueueEntry, &T) -> bool,
    ) -> Option<queue::QueuedItem<T>> {
        let ticket = self.turns.iter().find_map(|turn| {
            let first = self.subqueues.get(&turn.team)?.items.first()?;
            let waiting = self.items.get(first.ticket)?;
            has_capacity(&waiting.entry, &waiting.item).then_some(first.ticket)
        })?;
        let item = self.remove_item(ticket)?;
        self.advance_team(&item.entry, now);
        Some(item)
    }

    /// Removes and returns one item whose deadline has passed; call it until it returns `None`.
    pub fn expired(&mut self, now: time::Instant) -> Option<queue::QueuedItem<T>> {
        let turn = *self.deadlines.first()?;
        if turn.deadline > now {
            return None;
        }
        self.remove_unserved(turn.ticket)
    }

    /// Removes and returns an item without serving it.
    pub fn cancel(&mut self, ticket: queue::QueueTicket) -> Option<queue::QueuedItem<T>> {
        self.remove_unserved(ticket)
    }

    /// Returns the earliest deadline of the waiting items.
    #[must_use]
    pub fn next_deadline(&self) -> Option<time::Instant> {
        self.deadlines.first().map(|turn| turn.deadline)
    }

    /// Returns the number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the sum of the tokens of all waiting items.
    #[must_use]
    pub fn waiting_tokens(&self) -> amount::TokenCount {
        amount::TokenCount(self.tokens)
    }

    /// Returns the tokens that would be served before a new item of a team.
    #[must_use]
    pub fn tokens_ahead(&self, team: &name::TeamName) -> amount::TokenCount {
        let own = self.subqueues.get(team);
        let own_tokens = own.map_or(0, |subqueue| subqueue.tokens);
        let weight = self.weight_of(team);
        let finish = to_float(own_tokens) / weight;
        let others = self.subqueues.iter().filter(|(name, _)| *name != team);
        let ahead: u64 = others
            .map(|(_, subqueue)| subqueue.tokens.min(to_count(finish * subqueue.weight)))
            .sum();
        amount::TokenCount(own_tokens + ahead)
    }

    /// Returns the expected wait of a new item of a team, or `None` if too little was served for an
    /// estimate.
    #[must_use]
    pub fn predicted_wait(&self, team: &name::TeamName) -> Option<time::Duration> {
        let ahead = self.tokens_ahead(team);
        if ahead == amount::TokenCount::ZERO {
            return Some(time::Duration::ZERO);
        }
        self.rate.time_for(ahead)
    }

    fn weight_of(&self, team: &name::TeamName) -> f64 {
        self.weights.get(team).copied().unwrap_or(1.0)
    }

    /// Returns whether an item fits: a team may hold at most as many items and bytes as are still free.
    fn has_room(&self, entry: &queue::QueueEntry) -> bool {
        let subqueue = self.subqueues.get(&entry.team);
        let subqueue_items = subqueue.map_or(0, |subqueue| subqueue.items.len());
        let subqueue_bytes = subqueue.map_or(0, |subqueue| subqueue.bytes);
        let free_items = self.limits.max_items.saturating_sub(self.items.len());
        let free_bytes = self.limits.max_bytes.0.saturating_sub(self.bytes);
        let fits_items = subqueue_items < free_items;
        let fits_bytes = entry.bytes.0 <= free_bytes && subqueue_bytes <= free_bytes;
        fits_items && fits_bytes
    }

    fn retry_after(&self, entry: &queue::QueueEntry) -> time::Duration {
        self.rate
            .time_for(self.tokens_ahead(&entry.team))
            .unwrap_or(DEFAULT_RETRY_AFTER)
    }

    fn insert(
        &mut self,
        entry: queue::QueueEntry,
        item: T,
        now: time::Instant,
    ) -> queue::QueueTicket {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let (team, priority, deadline) = (entry.team.clone(), entry.priority, entry.deadline);
        let (tokens, bytes) = (entry.tokens.0, entry.bytes.0);
        let ticket = self.items.insert_with_key(|ticket| WaitingItem {
            entry,
            position: TeamPosition {
                priority,
                sequence,
                ticket,
            },
            queued_at: now,
            item,
        });
        let position = self.items[ticket].position;
        self.tokens += tokens;
        self.bytes += bytes;
        self.deadlines.insert(DeadlineTurn { deadline, ticket });
        let weight = self.weight_of(&team);
        let virtual_time = self.virtual_time;
        let subqueue = self
            .subqueues
            .entry(team.clone())
            .or_insert_with(|| TeamSubqueue {
                weight,
                start: virtual_time,
                items: collections::BTreeSet::new(),
                tokens: 0,
                bytes: 0,
            });
        if subqueue.items.is_empty() {
            subqueue.start = subqueue.start.max(virtual_time);
            let start = subqueue.start;
            self.turns.insert(TeamTurn { start, team });
        }
        subqueue.items.insert(position);
        subqueue.tokens += tokens;
        subqueue.bytes += bytes;
        ticket
    }

    /// Removes an item from all indexes; its team's subqueue stays, even if it is empty.
    fn remove_item(&mut self, ticket: queue::QueueTicket) -> Option<queue::QueuedItem<T>> {
        let waiting = self.items.remove(ticket)?;
        self.deadlines.remove(&DeadlineTurn {
            deadline: waiting.entry.deadline,
            ticket,
        });
        self.tokens -= waiting.entry.tokens.0;
        self.bytes -= waiting.entry.bytes.0;
        if let Some(subqueue) = self.subqueues.get_mut(&waiting.entry.team) {
            subqueue.items.remove(&waiting.position);
            subqueue.tokens -= waiting.entry.tokens.0;
            subqueue.bytes -= waiting.entry.bytes.0;
        }
        Some(queue::QueuedItem {
            ticket,
            entry: waiting.entry,
            queued_at: waiting.queued_at,
            item: waiting.item,
        })
    }

    fn remove_unserved(&mut self, ticket: queue::QueueTicket) -> Option<queue::QueuedItem<T>> {
        let item = self.remove_item(ticket)?;
        let team = &item.entry.team;
        if let Some(subqueue) = self
            .subqueues
            .get(team)
            .filter(|subqueue| subqueue.items.is_empty())
        {
            let start = subqueue.start;
            let team = team.clone();
            self.turns.remove(&TeamTurn { start, team });
        }
        self.drop_idle_subqueues();
        Some(item)
    }

    /// Advances a team's virtual start time after one of its items was served.
    fn advance_team(&mut self, entry: &queue::QueueEntry, now: time::Instant) {
        self.rate.record(entry.tokens, now);
        let Some(subqueue) = self.subqueues.get_mut(&entry.team) else {
            return;
        };
        let team = entry.team.clone();
        let start = subqueue.start;
        self.virtual_time = self.virtual_time.max(start);
        subqueue.start = VirtualTime(start.0 + to_float(entry.tokens.0) / subqueue.weight);
        let next = subqueue.start;
        let waits = !subqueue.items.is_empty();
        let mut turn = TeamTurn { start, team };
        self.turns.remove(&turn);
        if waits {
            turn.start = next;
            self.turns.insert(turn);
        }
        self.drop_idle_subqueues();
    }

    /// Drops empty subqueues whose start time has no effect, since the virtual time has reached it.
    fn drop_idle_subqueues(&mut self) {
        if !self.turns.is_empty() {
            let virtual_time = self.virtual_time;
            self.subqueues
                .retain(|_, subqueue| !subqueue.items.is_empty() || subqueue.start > virtual_time);
        } else if self.items.is_empty() {
            self.subqueues.clear();
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "shares need no more than 52 bits"
)]
fn to_float(tokens: u64) -> f64 {
    tokens as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates and the value is not negative"
)]
fn to_count(tokens: f64) -> u64 {
    tokens as u64
}
