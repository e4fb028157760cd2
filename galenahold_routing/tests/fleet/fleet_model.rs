//! A fleet of entry instances before shared engines, replayed without a network.
//!
//! Engines run a limited number of calls and queue a few more; further calls are turned away. An engine
//! reads waiting prompts before it generates further events, so that prompts make streams pause.

use std::collections;
use std::time;

use galenahold_domain::name;
use galenahold_routing::{fleet, load};

use crate::fixture;

const TICK_MS: u64 = 5;
const TICK_TIME_MS: f64 = 5.0;
const POLL_MS: u64 = 50;
const VIEW_PERIOD_MS: u64 = 250;
const MAX_SENDS: u32 = 3;
/// Prompt tokens that an engine of factor 1 reads in a millisecond.
const PREFILL_PER_MS: f64 = 25.8;

/// A deterministic source of random numbers.
pub(crate) struct Draws(u64);

impl Draws {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}

/// A kind of calls.
#[derive(Clone)]
pub(crate) struct CallMix {
    /// Calls per second over all instances; from the first to the last millisecond of `burst` as often as
    /// `burst_factor` says.
    pub(crate) per_s: u64,
    pub(crate) burst: std::ops::Range<u64>,
    pub(crate) burst_factor: u64,
    pub(crate) model: &'static str,
    pub(crate) prompt_tokens: u32,
    pub(crate) events: u64,
    pub(crate) objective_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) gap_ms: u64,
}

/// An engine.
pub(crate) struct ModelEngine {
    pub(crate) name: &'static str,
    pub(crate) slots: usize,
    pub(crate) queue: usize,
    /// Milliseconds for an event.
    pub(crate) event_ms: f64,
    /// Time for an event relative to the mean engine.
    pub(crate) factor: f64,
    pub(crate) models: Vec<&'static str>,
}

/// The replayed fleet.
pub(crate) struct FleetModel {
    pub(crate) engines: Vec<ModelEngine>,
    pub(crate) mixes: Vec<CallMix>,
    pub(crate) instances: usize,
    /// Whether instances get a view, which is 0.5 to 1 s late.
    pub(crate) has_view: bool,
    /// When the last view was sent.
    pub(crate) view_lost_ms: u64,
    pub(crate) length_ms: u64,
    /// Calls that arrive earlier are not counted: instances have seen no streams yet.
    pub(crate) warmup_ms: u64,
    pub(crate) seed: u64,
}

/// What became of the calls of one kind.
#[derive(Debug, Default, Clone)]
pub(crate) struct MixOutcome {
    pub(crate) calls: u32,
    /// First event within the objective, all pauses allowed, complete before the deadline.
    pub(crate) on_time: u32,
    pub(crate) complete: u32,
    pub(crate) cut: u32,
    pub(crate) refused: u32,
    pub(crate) late_first: u32,
    pub(crate) long_pause: u32,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub(crate) struct ReplayOutcome {
    pub(crate) mixes: Vec<MixOutcome>,
    /// Calls that an engine turned away.
    pub(crate) turned_away: u32,
    /// The mean over time of the busiest engine's calls relative to the mean of all engines.
    pub(crate) busiest_over_mean: f64,
}

#[derive(Debug, Clone)]
struct SimulatedCall {
    instance: usize,
    mix: usize,
    arrived_ms: u64,
    sent_ms: u64,
    sends: u32,
    run: Option<fleet::RunKey>,
    requirements: fleet::CallRequirements,
    unread: f64,
    progress_ms: f64,
    events: u64,
    last_event_ms: u64,
    first_ms: Option<u64>,
    longest_pause_ms: u64,
}

#[derive(Default)]
struct EngineState {
    running: Vec<SimulatedCall>,
    queued: collections::VecDeque<SimulatedCall>,
}

struct Replay<'a> {
    model: &'a FleetModel,
    start: time::Instant,
    schedulers: Vec<fleet::CallScheduler>,
    waiting: Vec<collections::HashMap<fleet::CallTicket, SimulatedCall>>,
    engines: Vec<EngineState>,
    outcome: ReplayOutcome,
    draws: Draws,
}

impl FleetModel {
    /// Returns whether a call that arrives now is counted: it ends before the replay does.
    fn counts(&self, now_ms: u64) -> bool {
        let longest = self.mixes.iter().map(|mix| mix.deadline_ms).max();
        (self.warmup_ms..self.length_ms - longest.unwrap_or_default()).contains(&now_ms)
    }

    pub(crate) fn replay(&self) -> ReplayOutcome {
        let start = time::Instant::now();
        let records: Vec<_> = self
            .engines
            .iter()
            .map(|engine| {
                let mut record = fixture::record(engine.name, &engine.models);
                record.slots = u32::try_from(engine.slots).expect("slots are few");
                record
            })
            .collect();
        let schedulers = (0..self.instances).map(|_| {
            let mut scheduler = fixture::scheduler(&records, start);
            scheduler.set_followers(u32::try_from(self.instances).expect("few"));
            scheduler
        });
        let mut replay = Replay {
            model: self,
            start,
            schedulers: schedulers.collect(),
            waiting: (0..self.instances)
                .map(|_| collections::HashMap::new())
                .collect(),
            engines: self
                .engines
                .iter()
                .map(|_| EngineState::default())
                .collect(),
            outcome: ReplayOutcome {
                mixes: vec![MixOutcome::default(); self.mixes.len()],
                ..ReplayOutcome::default()
            },
            draws: Draws(self.seed),
        };
        replay.run();
        replay.outcome
    }
}

impl Replay<'_> {
    fn at(&self, ms: u64) -> time::Instant {
        self.start + time::Duration::from_millis(ms)
    }

    fn run(&mut self) {
        let mut views = collections::VecDeque::new();
        let (mut unevenness, mut samples) = (0.0, 0.0);
        for now_ms in (0..self.model.length_ms).step_by(usize::try_from(TICK_MS).expect("few")) {
            self.submit_arrivals(now_ms);
            for engine in 0..self.engines.len() {
                self.step_engine(engine, now_ms);
            }
            if now_ms % POLL_MS == 0 {
                for instance in 0..self.schedulers.len() {
                    self.poll(instance, now_ms);
                }
            }
            if self.model.has_view && now_ms % VIEW_PERIOD_MS == 0 {
                if now_ms < self.model.view_lost_ms {
                    let uses: Vec<_> = self
                        .schedulers
                        .iter()
                        .map(fleet::CallScheduler::uses)
                        .collect();
                    views.push_back((now_ms, uses));
                }
                self.apply_views(&views, now_ms);
                if views.len() > 12 {
                    views.pop_front();
                }
            }
            let loads: Vec<_> = self
                .engines
                .iter()
                .map(|engine| engine.running.len() + engine.queued.len())
                .collect();
            let total: usize = loads.iter().sum();
            if total >= 2 * loads.len() && now_ms >= self.model.warmup_ms {
                let busiest = loads.iter().max().copied().unwrap_or_default();
                unevenness += ratio(busiest * loads.len(), total);
                samples += 1.0;
            }
        }
        self.outcome.busiest_over_mean = unevenness / f64::max(samples, 1.0);
    }

    fn apply_views(
        &mut self,
        views: &collections::VecDeque<(u64, Vec<Vec<load::ServerUse>>)>,
        now_ms: u64,
    ) {
        for instance in 0..self.schedulers.len() {
            let delay = 500 + u64::try_from(instance).expect("few") * 97 % 500;
            let Some((taken_ms, uses)) = views
                .iter()
                .rev()
                .find(|(taken, _)| taken + delay <= now_ms)
            else {
                continue;
            };
            let measured_at = self.at(*taken_ms);
            let loads: Vec<_> = self
                .model
                .engines
                .iter()
                .map(|engine| {
                    let others = uses
                        .iter()
                        .enumerate()
                        .filter(|(other, _)| *other != instance);
                    let entries = others
                        .flat_map(|(_, uses)| uses)
                        .filter(|entry| &*entry.server == engine.name);
                    let (running, unread_tokens, cache_tokens) =
                        entries.fold((0, 0, 0), |sum, entry| {
                            (
                                sum.0 + entry.running,
                                sum.1 + entry.unread_tokens,
                                sum.2 + entry.cache_tokens,
                            )
                        });
                    load::ServerLoad {
                        server: name::ServerName::from(engine.name),
                        started_ms: 1,
                        running,
                        unread_tokens,
                        cache_tokens,
                        pace: Some(engine.factor),
                        measured_at,
                    }
                })
                .collect();
            self.schedulers[instance].apply_loads(&loads);
        }
    }

    fn submit_arrivals(&mut self, now_ms: u64) {
        for mix_index in 0..self.model.mixes.len() {
            let mix = self.model.mixes[mix_index].clone();
            let factor = if mix.burst.contains(&now_ms) {
                mix.burst_factor
            } else {
                1
            };
            // Several draws for each tick approximate independent arrivals.
            for _ in 0..TICK_MS {
                if self.draws.below(1_000) >= mix.per_s * factor {
                    continue;
                }
                let instance =
                    usize::try_from(self.draws.below(self.schedulers.len() as u64)).expect("few");
                let now = self.at(now_ms);
                let mut requirements = fixture::requirements(
                    mix.model,
                    time::Duration::from_millis(mix.deadline_ms),
                    now,
                );
                requirements.affinity = self.draws.below(4);
                requirements.due_at = self.at(now_ms + mix.objective_ms);
                requirements.wait_deadline = now
                    + time::Duration::from_millis(
                        (4 * mix.objective_ms).max(8 * mix.gap_ms).max(2_000) - 150,
                    );
                requirements.work = load::CallWork {
                    prompt_tokens: mix.prompt_tokens.into(),
                    output_events: mix.events,
                    output_tokens: mix.events * 5,
                    objective: time::Duration::from_millis(mix.objective_ms),
                    event_gap: Some(time::Duration::from_millis(mix.gap_ms)),
                };
                requirements.deadline = self.at(now_ms + mix.deadline_ms);
                requirements.draw = self.draws.next();
                let is_counted = self.model.counts(now_ms);
                self.outcome.mixes[mix_index].calls += u32::from(is_counted);
                let call = SimulatedCall {
                    instance,
                    mix: mix_index,
                    arrived_ms: now_ms,
                    sent_ms: now_ms,
                    sends: 0,
                    run: None,
                    requirements,
                    unread: 0.0,
                    progress_ms: 0.0,
                    events: 0,
                    last_event_ms: 0,
                    first_ms: None,
                    longest_pause_ms: 0,
                };
                self.submit(call, now_ms);
            }
        }
    }

    fn submit(&mut self, call: SimulatedCall, now_ms: u64) {
        let now = self.at(now_ms);
        let scheduler = &mut self.schedulers[call.instance];
        let submission = if call.sends == 0 {
            scheduler.submit(call.requirements.clone(), now)
        } else {
            scheduler.resubmit(call.requirements.clone(), now)
        };
        match submission {
            fleet::CallSubmission::Placed(placement) => self.send(call, &placement, now_ms),
            fleet::CallSubmission::Waiting(ticket) => {
                self.waiting[call.instance].insert(ticket, call);
            }
            fleet::CallSubmission::Refused(_) => self.refuse(&call),
        }
    }

    fn send(&mut self, mut call: SimulatedCall, placement: &fleet::CallPlacement, now_ms: u64) {
        let engine = self
            .model
            .engines
            .iter()
            .position(|engine| engine.name == &*placement.server);
        let engine = engine.expect("the server is known");
        call.run = Some(placement.run);
        call.sent_ms = now_ms;
        call.sends += 1;
        call.unread = f64::from(self.model.mixes[call.mix].prompt_tokens);
        let settings = &self.model.engines[engine];
        let state = &mut self.engines[engine];
        if state.running.len() + state.queued.len() < settings.slots + settings.queue {
            state.queued.push_back(call);
            return;
        }
        self.outcome.turned_away += 1;
        let now = self.at(now_ms);
        let scheduler = &mut self.schedulers[call.instance];
        scheduler.observe(
            &placement.server,
            call.requirements.target.as_ref(),
            fleet::AttemptReport::Shed,
            now,
        );
        scheduler.finish(placement.run, now);
        if call.sends < MAX_SENDS {
            call.requirements.tried.push(placement.server.clone());
            self.submit(call, now_ms);
        } else {
            self.refuse(&call);
        }
    }

    fn poll(&mut self, instance: usize, now_ms: u64) {
        let now = self.at(now_ms);
        for settled in self.schedulers[instance].poll(now) {
            let Some(call) = self.waiting[instance].remove(&settled.ticket) else {
                continue;
            };
            match settled.result {
                Ok(placement) => self.send(call, &placement, now_ms),
                Err(_) => self.refuse(&call),
            }
        }
    }

    fn step_engine(&mut self, engine: usize, now_ms: u64) {
        let settings = &self.model.engines[engine];
        let event_ms = settings.event_ms * settings.factor;
        let state = &mut self.engines[engine];
        while state.running.len() < settings.slots
            && let Some(call) = state.queued.pop_front()
        {
            state.running.push(call);
        }
        // Prompts are read one after another, before any further event is generated.
        let mut left_ms = TICK_TIME_MS;
        let per_ms = PREFILL_PER_MS / settings.factor;
        for call in &mut state.running {
            let read = call.unread.min(left_ms * per_ms);
            call.unread -= read;
            left_ms -= read / per_ms;
        }
        let mut ended = Vec::new();
        let mut begun = Vec::new();
        state.running.retain_mut(|call| {
            let mix = &self.model.mixes[call.mix];
            if now_ms >= call.arrived_ms + mix.deadline_ms {
                ended.push((call.clone(), false));
                return false;
            }
            if call.unread > 0.0 {
                return true;
            }
            call.progress_ms += left_ms;
            while call.progress_ms >= event_ms && call.events < mix.events {
                call.progress_ms -= event_ms;
                call.events += 1;
                if call.first_ms.is_none() {
                    call.first_ms = Some(now_ms);
                    begun.push(call.clone());
                } else {
                    call.longest_pause_ms = call.longest_pause_ms.max(now_ms - call.last_event_ms);
                }
                call.last_event_ms = now_ms;
            }
            let is_complete = call.events >= mix.events;
            if is_complete {
                ended.push((call.clone(), true));
            }
            !is_complete
        });
        state.queued.retain(|call| {
            let mix = &self.model.mixes[call.mix];
            let is_cut = now_ms >= call.arrived_ms + mix.deadline_ms;
            if is_cut {
                ended.push((call.clone(), false));
            }
            !is_cut
        });
        let now = self.at(now_ms);
        for call in begun {
            let waited = time::Duration::from_millis(now_ms - call.sent_ms);
            let run = call.run.expect("the call was sent");
            self.schedulers[call.instance].begin_answer(run, waited);
        }
        let mut changed = collections::BTreeSet::new();
        for (call, is_complete) in ended {
            changed.insert(call.instance);
            let run = call.run.expect("the call was sent");
            let scheduler = &mut self.schedulers[call.instance];
            if is_complete {
                let event = time::Duration::from_secs_f64(event_ms / 1_000.0);
                scheduler.record_events(run, event, now);
            }
            scheduler.finish(run, now);
            self.count(&call, is_complete);
        }
        for instance in changed {
            self.poll(instance, now_ms);
        }
    }

    fn refuse(&mut self, call: &SimulatedCall) {
        let is_counted = self.model.counts(call.arrived_ms);
        self.outcome.mixes[call.mix].refused += u32::from(is_counted);
    }

    fn count(&mut self, call: &SimulatedCall, is_complete: bool) {
        if !self.model.counts(call.arrived_ms) {
            return;
        }
        let mix = &self.model.mixes[call.mix];
        let outcome = &mut self.outcome.mixes[call.mix];
        let late_first = call
            .first_ms
            .is_none_or(|first| first > call.arrived_ms + mix.objective_ms);
        let long_pause = call.longest_pause_ms > mix.gap_ms;
        outcome.late_first += u32::from(late_first);
        outcome.long_pause += u32::from(long_pause);
        outcome.complete += u32::from(is_complete);
        outcome.cut += u32::from(!is_complete);
        outcome.on_time += u32::from(is_complete && !late_first && !long_pause);
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let float = |count: usize| f64::from(u32::try_from(count).expect("calls are few"));
    float(part) / float(whole.max(1))
}
