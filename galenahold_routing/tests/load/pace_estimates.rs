//! Speeds of servers and models are found from few measurements with noise.

use std::collections;
use std::time;

use galenahold_domain::name;
use galenahold_routing::load;
use rand::rngs;
use rand::{RngExt, SeedableRng};

use crate::fixture;

const SERVERS: usize = 90;

const MODELS: usize = 18;

/// How long a server is slow at a time.
const EPISODE_MS: u64 = 600;

/// Engines of uneven speed, each slower by a factor of 2.5 for 15 % of the time, as seen by 86 entry
/// instances that make one request a minute each to each of them.
struct UnevenFleet {
    random: rngs::StdRng,
    factors: Vec<f64>,
    bases_us: Vec<f64>,
    slow: collections::HashMap<(usize, u64), bool>,
    estimator: load::PaceEstimator,
    started_at: time::Instant,
    elapsed_ms: u64,
}

impl UnevenFleet {
    fn new(seed: u64) -> Self {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let spread = |count: usize, ratio: f64, random: &mut rngs::StdRng| {
            let logs = (0..count).map(|_| random.random_range(0.0..ratio.ln()).exp());
            logs.collect::<Vec<_>>()
        };
        let factors = spread(SERVERS, 2.7, &mut random);
        let bases_us = spread(MODELS, 3.0, &mut random);
        let started_at = time::Instant::now();
        Self {
            random,
            factors,
            bases_us: bases_us.iter().map(|base| base * 27_000.0).collect(),
            slow: collections::HashMap::new(),
            estimator: load::PaceEstimator::new(started_at),
            started_at,
            elapsed_ms: 0,
        }
    }

    /// Serves requests for a time, and records the measurements of their answers.
    fn serve(&mut self, span_ms: u64) {
        // 86 requests a minute at each server, of about four measurements each.
        let share = 86.0 / 60_000.0 * 10.0;
        for _ in 0..span_ms / 10 {
            self.elapsed_ms += 10;
            for server in 0..SERVERS {
                if self.random.random_bool(share) {
                    self.answer(server);
                }
            }
        }
        self.estimator.centre();
    }

    /// Records one of the measurements of an answer that runs now; the others of the same answer follow it
    /// within the window and are left out, so that the estimate gets less than in a fleet.
    fn answer(&mut self, server: usize) {
        let place = self.random.random_range(0..3);
        let model = (server + place * (1 + server / MODELS)) % MODELS;
        let event_us = self.bases_us[model] * self.factors[server];
        let mut observer = load::GapObserver::default();
        let start = self.started_at + time::Duration::from_millis(self.elapsed_ms);
        let mut now = start;
        let mut measured = None;
        while measured.is_none() {
            let passed = u64::try_from((now - self.started_at).as_millis()).unwrap_or(u64::MAX);
            let slowness = if self.is_slow(server, passed) {
                2.5
            } else {
                1.0
            };
            now += time::Duration::from_secs_f64(event_us * slowness / 1e6);
            measured = observer.observe(1, time::Duration::ZERO, now);
        }
        let (event_us, events) = measured.expect("there were enough gaps");
        let sample = load::PaceSample {
            model: model_name(model),
            event_us,
            events,
        };
        let server = server_name(server);
        self.estimator
            .record(&server, fixture::STARTED_MS, &sample, start);
    }

    fn is_slow(&mut self, server: usize, elapsed_ms: u64) -> bool {
        let random = &mut self.random;
        *self
            .slow
            .entry((server, elapsed_ms / EPISODE_MS))
            .or_insert_with(|| random.random_bool(0.15))
    }

    /// Returns the largest, and the 90th percentile, of the ratios between estimated and true factors;
    /// unknown factors count as 1.
    fn errors(&self) -> (f64, f64) {
        let logs = self.factors.iter().map(|factor| factor.ln());
        let mean = logs.sum::<f64>() / 90.0;
        let mut errors: Vec<_> = (0..SERVERS)
            .map(|server| {
                let estimate = self.estimator.factor(&server_name(server)).unwrap_or(1.0);
                let ratio = estimate.ln() - (self.factors[server].ln() - mean);
                ratio.abs().exp()
            })
            .collect();
        errors.sort_by(f64::total_cmp);
        (errors[SERVERS - 1], errors[SERVERS * 9 / 10])
    }
}

fn server_name(server: usize) -> name::ServerName {
    format!("engine-{server}").into()
}

fn model_name(model: usize) -> name::ModelName {
    format!("model-{model}").into()
}

#[test]
fn factors_are_found_within_seconds_at_one_request_a_minute_per_pair() {
    for seed in 0..5 {
        let mut fleet = UnevenFleet::new(seed);
        fleet.serve(6_000);
        let (_, most) = fleet.errors();
        assert!(
            most < 1.15,
            "seed {seed}: nine tenths within {most} after 6 s"
        );
        fleet.serve(9_000);
        let (worst, _) = fleet.errors();
        assert!(worst < 1.3, "seed {seed}: all within {worst} after 15 s");
    }
}

#[test]
fn noise_does_not_flip_factors() {
    for seed in 0..3 {
        let mut fleet = UnevenFleet::new(seed);
        fleet.serve(30_000);
        for second in 30..330 {
            fleet.serve(1_000);
            let (worst, most) = fleet.errors();
            assert!(
                worst < 1.5,
                "seed {seed}: all within {worst} after {second} s"
            );
            assert!(
                most < 1.15,
                "seed {seed}: nine tenths within {most} after {second} s"
            );
        }
    }
}

#[test]
fn a_busy_server_that_is_slow_for_a_moment_keeps_its_factor() {
    let started_at = time::Instant::now();
    let mut estimator = load::PaceEstimator::new(started_at);
    let servers = [server_name(0), server_name(1)];
    let mut record = |from_ms: u64, to_ms: u64, slow_us: u32| {
        for at_ms in (from_ms..to_ms).step_by(25) {
            let now = started_at + time::Duration::from_millis(at_ms);
            for (server, event_us) in servers.iter().zip([slow_us, 30_000]) {
                let sample = fixture::sample("model-1", event_us);
                estimator.record(server, fixture::STARTED_MS, &sample, now);
            }
        }
        estimator.centre();
        estimator.factor(&servers[0]).unwrap_or_default()
    };
    let before = record(0, 8_000, 30_000);
    assert!((before - 1.0).abs() < 0.05, "{before}");
    // All 24 measurements of 600 ms are slow.
    let after = record(8_000, 8_600, 75_000);
    assert!(after < 1.1, "{after}");
    let lasting = record(8_600, 30_000, 75_000);
    assert!(lasting > 1.5, "{lasting}");
}

#[test]
fn speed_of_models_is_told_from_speed_of_servers() {
    let mut fleet = UnevenFleet::new(7);
    fleet.serve(30_000);
    let mean = (fleet.factors.iter().map(|factor| factor.ln()).sum::<f64>() / 90.0).exp();
    let bases: collections::HashMap<_, _> = fleet.estimator.bases().collect();
    for (model, base_us) in fleet.bases_us.iter().enumerate() {
        let ratio = bases[&model_name(model)] / (base_us * mean);
        // Measurements that are slow by chance raise all base times a little.
        assert!((0.93..1.15).contains(&ratio), "model {model}: {ratio}");
    }
    let (worst, _) = fleet.errors();
    assert!(worst < 1.3, "servers within {worst}");
}

#[test]
fn a_model_at_a_single_server_says_nothing_about_the_server() {
    let started_at = time::Instant::now();
    let mut estimator = load::PaceEstimator::new(started_at);
    let server = name::ServerName::from("engine-1");
    for slot in 0..20 {
        let now = started_at + time::Duration::from_millis(400 * slot);
        let sample = fixture::sample("model-1", 90_000);
        estimator.record(&server, fixture::STARTED_MS, &sample, now);
    }
    estimator.centre();
    assert_eq!(estimator.factor(&server), None);
    let bases: Vec<_> = estimator.bases().collect();
    assert!((bases[0].1 / 90_000.0 - 1.0).abs() < 0.01, "{bases:?}");
}
