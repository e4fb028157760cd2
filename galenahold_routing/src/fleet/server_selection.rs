//! The selection of the backend server that takes a call.

use std::collections;
use std::hash::{Hash, Hasher};
use std::time;

use galenahold_domain::name;

use crate::fleet;

/// Factor by which the server with a call's shared prompt prefix may be busier than the least busy one.
const AFFINITY_FACTOR: f64 = 1.2;

/// Calls that the server with the shared prompt prefix may have in addition to the factor.
const AFFINITY_SLACK: f64 = 0.5;

/// Factor up to which a server is about as good as the best one: a late view does not tell them apart.
const NEAR_FACTOR: f64 = 1.2;

/// How much more likely the server with the shared prompt prefix is drawn, of those that are about as good.
const PREFIX_WEIGHT: f64 = 2.0;

/// Calls that other instances send before their view changes, from which on calls are spread at random.
const MIN_SENT: f64 = 1.0;

/// Factor by which a server in another data centre counts as busier: traffic between data centres is
/// expensive and takes a millisecond or two each way.
const DISTANCE_FACTOR: f64 = 1.15;

/// Factor on the predicted time of a call by which it has to be complete before its deadline: other prompts
/// interrupt it, and servers are slower for moments.
const TOTAL_MARGIN: f64 = 1.1;

/// Share of the allowed pause that unread prompts may take before a prompt counts as long.
const SHORT_SHARE: f64 = 0.25;

/// Share of the allowed pause that long prompts may take together, so that short ones find room.
const LONG_SHARE: f64 = 0.75;

/// Minimum share of the allowed pause for unread prompts, at servers whose events alone take longer.
const MIN_PAUSE_SHARE: f64 = 0.25;

/// How many times the calls that were sent since the view are thought to fill the servers evenly. The effect
/// of a choice is seen only in the view after the next; with factors of 1 and 2 the load swung between
/// servers, with 4 it stays nearly as even as by chance.
const SENT_FACTOR: f64 = 4.0;

/// Shortest duration of calls for which the calls sent since a view are predicted.
const MIN_DURATION_S: f64 = 0.05;

/// Upper bound of the level to which servers are filled, far beyond any load.
const MAX_LEVEL: f64 = 1.0e9;

/// Bisections of the level to which servers are filled, which makes it exact to a thousandth.
const LEVEL_STEPS: u32 = 10;

/// Selects the server for one call among those that can take it now.
///
/// Workload: instances share a few engines of different speeds, with short and long prompts and answers.
/// A call goes to a server on which it is complete before its deadline, begins within its objective and does
/// not make other streams pause too long; of these to one with the lowest predicted time. Calls that share
/// a prompt prefix go to the same server as long as it is not much busier than others. Without a view of
/// other instances' calls and without samples, calls go to the least busy server.
#[derive(Debug)]
pub(super) struct ServerSelection<'a> {
    /// The known servers.
    pub(super) servers: &'a fleet::ServerSet,
    /// What is known about the service; `None` before a declaration.
    pub(super) profile: Option<&'a fleet::ServiceProfile>,
    /// The data centre of this instance, if it is known.
    pub(super) data_centre: Option<&'a name::DataCentreName>,
    /// The number of views of other instances' calls that were received.
    pub(super) view_number: u64,
    /// The age of the view; `None` if there is none.
    pub(super) view_age: Option<time::Duration>,
    /// The time of the decision.
    pub(super) now: time::Instant,
}

/// The selected server.
#[derive(Debug)]
pub(super) struct ServerChoice {
    pub(super) server: name::ServerName,
    pub(super) basis: fleet::ChoiceBasis,
}

/// A server that could take the call.
#[derive(Debug, Clone, Copy)]
struct ServerCandidate<'a> {
    server: &'a fleet::SchedulerServer,
    /// What the calls of all instances use.
    used: fleet::CallUse,
    forecast: Option<fleet::CallForecast>,
    fit: fleet::ServerFit,
    /// The order among servers that fit equally well; lower is better.
    score: f64,
    affinity_rank: u64,
}

impl ServerCandidate<'_> {
    /// Returns the calls per second that the server can run, or its slots if its speed is unknown.
    fn capacity(&self) -> f64 {
        let slots = f64::from(self.server.record.slots.max(1));
        let event_s = self.forecast.map_or(1.0, |forecast| forecast.event_s);
        slots / (event_s * self.server.failure_penalty())
    }
}

impl<'a> ServerSelection<'a> {
    /// Returns the server that the call is sent to now.
    ///
    /// # Errors
    ///
    /// Why no server can take the call now.
    pub(super) fn choose(
        &self,
        requirements: &'a fleet::CallRequirements,
    ) -> Result<ServerChoice, fleet::SelectionBlock> {
        let mut candidates = self.candidates(requirements);
        retain_any(&mut candidates, |candidate| {
            !requirements.tried.contains(&candidate.server.record.name)
        });
        if candidates.is_empty() {
            return Err(fleet::SelectionBlock::Slots);
        }
        if let Some(place) = requirements.suspect_place {
            let chosen =
                choose_apart(&mut candidates, place).ok_or(fleet::SelectionBlock::Slots)?;
            return Ok(self.choice(chosen));
        }
        if let Some(profile) = self.profile {
            candidates.retain(|candidate| profile.fits_memory(candidate.used, &requirements.work));
            if candidates.is_empty() {
                return Err(fleet::SelectionBlock::Memory);
            }
        }
        prefer_adapter(requirements, &mut candidates);
        for candidate in &mut candidates {
            candidate.fit = self.fit(requirements, candidate);
        }
        let best = candidates.iter().map(|candidate| candidate.fit).min();
        let best = best.unwrap_or(fleet::ServerFit::OnTime);
        if best == fleet::ServerFit::Crowded && self.now < hold_end(requirements, &candidates) {
            return Err(fleet::SelectionBlock::Prompt);
        }
        candidates.retain(|candidate| candidate.fit == best);
        self.score(best, &mut candidates);
        let chosen = self.pick(requirements, best, &candidates);
        chosen
            .map(|candidate| self.choice(candidate))
            .ok_or(fleet::SelectionBlock::Slots)
    }

    fn candidates(&self, requirements: &'a fleet::CallRequirements) -> Vec<ServerCandidate<'a>> {
        let chance = self.chance(requirements);
        let weight = fleet::ViewWeight::at_age(self.view_age);
        let mut candidates = Vec::new();
        for server in self.servers.eligible(requirements, self.now) {
            let used = server.total(weight);
            if server.is_paused(self.now) || !server.has_slot(used, weight, chance) {
                continue;
            }
            let forecast = self.profile.and_then(|profile| {
                let target = requirements.target.as_ref()?;
                let slots = server.record.slots;
                profile.forecast(
                    &target.model,
                    &requirements.work,
                    server.pace(),
                    used,
                    slots,
                )
            });
            candidates.push(ServerCandidate {
                server,
                used,
                forecast,
                fit: fleet::ServerFit::OnTime,
                score: 0.0,
                affinity_rank: affinity_rank(requirements, server),
            });
        }
        candidates
    }

    /// Returns how well a server suits the call.
    fn fit(
        &self,
        requirements: &fleet::CallRequirements,
        candidate: &ServerCandidate<'_>,
    ) -> fleet::ServerFit {
        let Some(forecast) = &candidate.forecast else {
            return fleet::ServerFit::OnTime;
        };
        if self.now + forecast.total.mul_f64(TOTAL_MARGIN) > requirements.deadline {
            return fleet::ServerFit::Incomplete;
        }
        let is_late = self.now + forecast.first > requirements.due_at;
        let is_crowded = !self.keeps_pauses(requirements, candidate, forecast);
        match (is_late, is_crowded) {
            (false, false) => fleet::ServerFit::OnTime,
            (false, true) => fleet::ServerFit::Crowded,
            (true, false) => fleet::ServerFit::Late,
            (true, true) => fleet::ServerFit::LateCrowded,
        }
    }

    /// Returns whether streams at a server keep their allowed pause while it reads the call's prompt.
    ///
    /// Workload: short prompts with a tight objective beside prompts of up to 4,700 tokens, which a server
    /// reads between two events of its streams. A quarter of the allowed pause is kept for short prompts.
    /// Only own prompts count: those of others are read sooner than a view of them arrives. Their mean is
    /// part of the predicted first event.
    fn keeps_pauses(
        &self,
        requirements: &fleet::CallRequirements,
        candidate: &ServerCandidate<'_>,
        forecast: &fleet::CallForecast,
    ) -> bool {
        let declared = self.profile.and_then(fleet::ServiceProfile::tightest_gap);
        let Some(gap) = declared.or(requirements.work.event_gap) else {
            return true;
        };
        if candidate.used.running == 0 {
            return true;
        }
        let gap_s = gap.as_secs_f64();
        let pause_s = (gap_s - forecast.event_s).max(gap_s * MIN_PAUSE_SHARE);
        let prompt_tokens = u32::try_from(requirements.work.prompt_tokens).unwrap_or(u32::MAX);
        let own_s = f64::from(prompt_tokens) * forecast.token_s;
        let unread_s = f64::from(candidate.server.own.unread_tokens) * forecast.token_s;
        let is_long = own_s > pause_s * SHORT_SHARE && unread_s > 0.0;
        let limit_s = if is_long {
            pause_s * LONG_SHARE
        } else {
            pause_s
        };
        unread_s + own_s <= limit_s
    }

    /// Sets the order of servers that suit the call equally well.
    fn score(&self, fit: fleet::ServerFit, candidates: &mut [ServerCandidate<'_>]) {
        let latencies = candidates
            .iter()
            .filter_map(|candidate| candidate.server.latency_s());
        let min_latency = latencies.min_by(f64::total_cmp).unwrap_or(1.0);
        let has_paces = candidates
            .iter()
            .any(|candidate| candidate.server.known_pace().is_some());
        for candidate in candidates {
            let server = candidate.server;
            let distance = if self.is_local(server) {
                1.0
            } else {
                DISTANCE_FACTOR
            };
            let failures = server.failure_penalty();
            let score = match (&candidate.forecast, fit) {
                (Some(forecast), fleet::ServerFit::Incomplete) => {
                    forecast.total.as_secs_f64() * failures
                }
                (Some(forecast), fleet::ServerFit::Crowded | fleet::ServerFit::LateCrowded) => {
                    forecast.first.as_secs_f64() * failures
                }
                // A server that is half full may be as much slower than an idle one, so that room stays on
                // fast servers for calls that need them.
                (Some(forecast), _) if has_paces => {
                    forecast.total.as_secs_f64()
                        * (1.0 + server.used_share(candidate.used))
                        * failures
                }
                _ => server.busyness(candidate.used, min_latency),
            };
            candidate.score = score * distance;
        }
    }

    /// Picks one of the servers that suit the call equally well.
    fn pick<'b>(
        &self,
        requirements: &fleet::CallRequirements,
        fit: fleet::ServerFit,
        candidates: &'b [ServerCandidate<'a>],
    ) -> Option<&'b ServerCandidate<'a>> {
        let best = candidates.iter().min_by(|one, other| {
            let by_score = one.score.total_cmp(&other.score);
            by_score.then(one.affinity_rank.cmp(&other.affinity_rank))
        })?;
        let is_fair = requirements.target.is_some() && fit <= fleet::ServerFit::Late;
        // The lowest hash rank selects the same server for all calls that share this prompt prefix.
        let preferred = candidates
            .iter()
            .filter(|_| is_fair)
            .min_by_key(|candidate| (!self.is_local(candidate.server), candidate.affinity_rank));
        let has_view = !fleet::ViewWeight::at_age(self.view_age).is_zero();
        let slack = if has_view { 0.0 } else { AFFINITY_SLACK };
        let bound = best.score * AFFINITY_FACTOR + slack;
        let preferred = preferred.filter(|candidate| candidate.score <= bound);
        let sent = self.sent_since_view(candidates);
        if sent < MIN_SENT {
            return preferred.or(Some(best));
        }
        let chosen = draw_by_room(requirements, sent, best, preferred, candidates);
        Some(chosen.unwrap_or(best))
    }

    /// Predicts how many calls other instances have sent to the servers since the view: about as many as
    /// ended in that time.
    ///
    /// Once the view is stale that is as many as the servers run, so that calls are spread by the speeds of
    /// servers, which stay known. Without any view there is nothing to predict from.
    fn sent_since_view(&self, candidates: &[ServerCandidate<'_>]) -> f64 {
        let Some(age) = self.view_age else {
            return 0.0;
        };
        if fleet::ViewWeight::at_age(self.view_age).is_stale() {
            let slots = candidates
                .iter()
                .map(|candidate| candidate.server.record.slots);
            return slots.map(f64::from).sum();
        }
        let duration_s = self
            .profile
            .and_then(fleet::ServiceProfile::mean_duration_s);
        let others = candidates.iter().map(|candidate| {
            let own = candidate.server.own.running;
            f64::from(candidate.used.running.saturating_sub(own))
        });
        others.sum::<f64>() * age.as_secs_f64() / duration_s.unwrap_or(1.0).max(MIN_DURATION_S)
    }

    fn choice(&self, candidate: &ServerCandidate<'_>) -> ServerChoice {
        let forecast = candidate.forecast;
        ServerChoice {
            server: candidate.server.record.name.clone(),
            basis: fleet::ChoiceBasis {
                fit: candidate.fit,
                running: candidate.used.running,
                unread_tokens: candidate.used.unread_tokens,
                view_age: self.view_age,
                first: forecast.map(|forecast| forecast.first),
                total: forecast.map(|forecast| forecast.total),
            },
        }
    }

    /// Returns a uniform number between zero and one, which stays the same for a call until the next view.
    fn chance(&self, requirements: &fleet::CallRequirements) -> f64 {
        let mut hasher = collections::hash_map::DefaultHasher::new();
        requirements.draw.hash(&mut hasher);
        self.view_number.hash(&mut hasher);
        let [high, low, ..] = hasher.finish().to_be_bytes().map(f64::from);
        (high * 256.0 + low) / 65_536.0
    }

    /// Returns whether a server is in this instance's data centre.
    fn is_local(&self, server: &fleet::SchedulerServer) -> bool {
        self.data_centre == Some(&server.record.data_centre)
    }
}

/// Draws a server with a probability in proportion to the calls that it can take before it is as loaded as
/// the others.
///
/// If all instances chose the server that a late view shows as the best, it would get all calls until the
/// next view. The calls that others have sent since the view are therefore thought to fill the servers
/// evenly, and a server's share in them is its probability (load interpretation, Dahlin 2000). Servers
/// whose score is near the best one count for one call at least.
fn draw_by_room<'a, 'b>(
    requirements: &fleet::CallRequirements,
    sent: f64,
    best: &ServerCandidate<'_>,
    preferred: Option<&ServerCandidate<'_>>,
    candidates: &'b [ServerCandidate<'a>],
) -> Option<&'b ServerCandidate<'a>> {
    let level = fill_level(candidates, sent * SENT_FACTOR);
    let weight = |candidate: &ServerCandidate<'_>| {
        let room = level * candidate.capacity() - f64::from(candidate.used.running);
        let is_near = candidate.score <= best.score * NEAR_FACTOR;
        let keeps_prefix =
            preferred.is_some_and(|preferred| preferred.affinity_rank == candidate.affinity_rank);
        let factor = if keeps_prefix { PREFIX_WEIGHT } else { 1.0 };
        room.max(if is_near { 1.0 } else { 0.0 }) * factor
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let [.., high, low] = requirements.draw.to_be_bytes().map(f64::from);
    let mut left = (high * 256.0 + low) / 65_536.0 * total;
    candidates.iter().find(|candidate| {
        left -= weight(candidate);
        left < 0.0
    })
}

/// Returns the load relative to their capacity up to which the servers are filled by `calls` more calls.
fn fill_level(candidates: &[ServerCandidate<'_>], calls: f64) -> f64 {
    let (mut low, mut high) = (0.0, 1.0);
    let filled = |level: f64| -> f64 {
        let rooms = candidates.iter().map(|candidate| {
            let room = level * candidate.capacity() - f64::from(candidate.used.running);
            room.max(0.0)
        });
        rooms.sum()
    };
    while filled(high) < calls && high < MAX_LEVEL {
        high *= 2.0;
    }
    for _ in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        if filled(middle) < calls {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Returns until when a call with a long prompt waits for a server whose streams keep their pauses: half of
/// the time that its objective leaves. After that it is sent, so that short prompts do not starve it.
fn hold_end(
    requirements: &fleet::CallRequirements,
    candidates: &[ServerCandidate<'_>],
) -> time::Instant {
    let firsts = candidates
        .iter()
        .filter_map(|candidate| Some(candidate.forecast?.first));
    let first = firsts.min().unwrap_or_default();
    let objective = requirements.work.objective;
    let slack = objective.saturating_sub(first);
    let used = objective.saturating_sub(slack / 2);
    requirements
        .due_at
        .checked_sub(used)
        .unwrap_or(requirements.due_at)
}

/// Keeps the candidates that pass, unless none does.
fn retain_any(
    candidates: &mut Vec<ServerCandidate<'_>>,
    mut passes: impl FnMut(&ServerCandidate<'_>) -> bool,
) {
    if candidates.iter().any(&mut passes) {
        candidates.retain(passes);
    }
}

/// Keeps the servers that hold the call's adapter; if none does, those that can load it now.
fn prefer_adapter(
    requirements: &fleet::CallRequirements,
    candidates: &mut Vec<ServerCandidate<'_>>,
) {
    let target = requirements.target.as_ref();
    let Some(adapter) = target.and_then(fleet::ModelTarget::held_adapter) else {
        return;
    };
    let holds = |candidate: &ServerCandidate<'_>| candidate.server.adapters.contains(&adapter);
    if candidates.iter().any(holds) {
        candidates.retain(holds);
    } else {
        retain_any(candidates, |candidate| {
            candidate.server.record.loading.is_none()
        });
    }
}

/// Ranks a server for the shared prompt prefix of a call; the server with the lowest rank keeps the prefix.
fn affinity_rank(requirements: &fleet::CallRequirements, server: &fleet::SchedulerServer) -> u64 {
    let mut hasher = collections::hash_map::DefaultHasher::new();
    requirements.affinity.hash(&mut hasher);
    server.record.name.hash(&mut hasher);
    hasher.finish()
}

/// Chooses the server for a call with the given place among calls that are kept apart: all instances
/// with the same candidates choose the same.
fn choose_apart<'a, 'b>(
    candidates: &'b mut [ServerCandidate<'a>],
    place: usize,
) -> Option<&'b ServerCandidate<'a>> {
    candidates.sort_by(|one, other| one.server.record.name.cmp(&other.server.record.name));
    let position = place.checked_rem(candidates.len())?;
    candidates.get(position)
}
