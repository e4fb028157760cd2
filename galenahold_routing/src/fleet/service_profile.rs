//! What is declared and learned about a service's engines.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;

use crate::fleet;
use crate::load;

/// Streams after which the time for an event is known for models without samples of their own.
const MIN_SERVICE_SAMPLES: u32 = 8;

/// Share of the declared cache that expected tokens may use: a server whose requests exceed its memory
/// preempts some of them, and crashes in the end.
const CACHE_SHARE: f64 = 0.9;

/// How much longer an event takes at a server whose slots are all taken than at an idle one, as a share.
const CONCURRENCY_SHARE: f64 = 0.1;

/// Minimum number of prompt tokens from which the time to read one is learned; with fewer tokens, other delays
/// dominate.
const MIN_PROMPT_TOKENS: u32 = 256;

/// The weight of the latest call in the mean duration of calls.
const LATEST_WEIGHT: f64 = 0.05;

/// The limits that a declaration sets for a service's engines, and the speeds learned from own streams.
#[derive(Debug)]
pub(super) struct ServiceProfile {
    /// Tokens that the calls at one server may use; `None` if no cache is declared.
    token_limit: Option<u64>,
    /// The tightest pause that any route to the service allows.
    tightest_gap: Option<time::Duration>,
    /// Time for an event of each model at a server of mean speed, in seconds.
    event_times: collections::HashMap<name::ModelName, fleet::QuantileEstimate>,
    /// The same as the leader estimated it from the streams of all instances.
    shared_event_times: collections::HashMap<name::ModelName, time::Duration>,
    /// The same over all models.
    service_event_time: fleet::QuantileEstimate,
    service_samples: u32,
    /// Time to read a prompt token relative to the time for an event.
    prompt_ratio: fleet::QuantileEstimate,
    /// Mean time that a call occupies a slot, in seconds.
    mean_duration_s: Option<f64>,
}

impl Default for ServiceProfile {
    fn default() -> Self {
        Self {
            token_limit: None,
            tightest_gap: None,
            event_times: collections::HashMap::new(),
            shared_event_times: collections::HashMap::new(),
            service_event_time: fleet::QuantileEstimate::MEDIAN,
            service_samples: 0,
            // Prompts of other calls that are not seen here prolong many samples.
            prompt_ratio: fleet::QuantileEstimate::LOWER_QUARTILE,
            mean_duration_s: None,
        }
    }
}

impl ServiceProfile {
    /// Applies the declared limits; what was learned stays.
    pub(super) fn declare(
        &mut self,
        service: &declaration::DeclaredService,
        routes: &[declaration::DeclaredRoute],
    ) {
        let to_service = routes.iter().filter(|route| {
            let mut shares = route.shares.iter();
            shares.any(|share| share.service == service.name)
        });
        self.tightest_gap = to_service.filter_map(|route| route.event_gap).min();
        self.token_limit = service.engine.as_ref().map(|engine| {
            let tokens = u32::try_from(engine.cache_tokens.0).unwrap_or(u32::MAX);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a share of a token count is a token count"
            )]
            let limit = (f64::from(tokens) * CACHE_SHARE) as u64;
            limit
        });
    }

    /// Returns whether a call's expected tokens fit beside those in use.
    ///
    /// A call that is too large for any server fits on an idle one, which decides itself.
    pub(super) fn fits_memory(&self, used: fleet::CallUse, work: &load::CallWork) -> bool {
        let needed = work.prompt_tokens.saturating_add(work.output_tokens);
        let used = u64::from(used.cache_tokens);
        used == 0
            || self
                .token_limit
                .is_none_or(|limit| used.saturating_add(needed) <= limit)
    }

    /// Returns the tightest pause that any route to the service allows.
    pub(super) fn tightest_gap(&self) -> Option<time::Duration> {
        self.tightest_gap
    }

    /// Returns the mean time that a call occupies a slot; `None` before any call has ended.
    pub(super) fn mean_duration_s(&self) -> Option<f64> {
        self.mean_duration_s
    }

    /// Predicts a call at a server of the given pace with the given calls of all instances and slots.
    ///
    /// Returns `None` as long as no stream has shown the speed of the model or service.
    pub(super) fn forecast(
        &self,
        model: &name::ModelName,
        work: &load::CallWork,
        pace: f64,
        used: fleet::CallUse,
        slots: u32,
    ) -> Option<fleet::CallForecast> {
        let event_s = self.event_time(model)? * pace * crowding(used.running, slots);
        let token_s = self.prompt_ratio.value().unwrap_or(0.0) * event_s;
        let prompts = u64::from(used.unread_tokens).saturating_add(work.prompt_tokens);
        let above = used.running.saturating_add(1).saturating_sub(slots);
        let count = small(work.output_events.max(1));
        let slot_wait = if above == 0 {
            0.0
        } else {
            let duration = self.mean_duration_s.unwrap_or(event_s * count);
            duration * f64::from(above) / f64::from(slots.max(1))
        };
        let first = slot_wait + small(prompts) * token_s + event_s;
        Some(fleet::CallForecast {
            event_s,
            token_s,
            first: fleet::duration(first),
            total: fleet::duration(first + (count - 1.0) * event_s),
        })
    }

    /// Learns the time for an event from a stream at a server of the given pace.
    pub(super) fn record_events(
        &mut self,
        model: &name::ModelName,
        event: time::Duration,
        pace: f64,
        used: fleet::CallUse,
        slots: u32,
    ) {
        let base = event.as_secs_f64() / (pace * crowding(used.running, slots));
        if let Some(known) = self.event_times.get_mut(model) {
            known.record(base);
        } else {
            let mut first = fleet::QuantileEstimate::MEDIAN;
            first.record(base);
            self.event_times.insert(model.clone(), first);
        }
        self.service_event_time.record(base);
        self.service_samples = self.service_samples.saturating_add(1);
    }

    /// Learns the time to read a prompt token from the time until a first event, before which the server
    /// had to read the given tokens.
    pub(super) fn record_first_event(
        &mut self,
        model: &name::ModelName,
        waited: time::Duration,
        tokens: u32,
        pace: f64,
    ) {
        if tokens < MIN_PROMPT_TOKENS {
            return;
        }
        if let Some(event_time) = self.event_time(model) {
            let event_s = event_time * pace;
            let reading = (waited.as_secs_f64() - event_s).max(0.0);
            self.prompt_ratio
                .record(reading / (event_s * f64::from(tokens)));
        }
    }

    /// Replaces the speeds of models that the leader estimated.
    pub(super) fn set_shared_times(&mut self, paces: &[load::ModelPace]) {
        let times = paces.iter().map(|pace| (pace.model.clone(), pace.event));
        self.shared_event_times = times.collect();
    }

    /// Learns how long calls occupy a slot.
    pub(super) fn record_duration(&mut self, duration: time::Duration) {
        let duration_s = duration.as_secs_f64();
        let known = self.mean_duration_s.unwrap_or(duration_s);
        self.mean_duration_s = Some(known + (duration_s - known) * LATEST_WEIGHT);
    }

    fn event_time(&self, model: &name::ModelName) -> Option<f64> {
        let own = self.event_times.get(model).and_then(|time| time.value());
        let shared = self.shared_event_times.get(model);
        let known = own.or_else(|| Some(shared?.as_secs_f64()));
        known.or_else(|| {
            let is_known = self.service_samples >= MIN_SERVICE_SAMPLES;
            self.service_event_time.value().filter(|_| is_known)
        })
    }
}

/// Returns the factor by which concurrent calls prolong an event.
fn crowding(running: u32, slots: u32) -> f64 {
    let share = f64::from(running.min(slots)) / f64::from(slots.max(1));
    1.0 + CONCURRENCY_SHARE * share
}

fn small(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
