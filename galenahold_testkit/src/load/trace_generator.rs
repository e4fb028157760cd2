//! Traces from deployments.

use std::collections;

use rand::{RngExt, SeedableRng, rngs};

use super::arrival_clock::ArrivalClock;
use super::rate_meter::RateMeter;
use super::{LoadTrace, TraceBody, TracePlan, TraceRequest};
use crate::deployment;

/// A model or adapter that requests name, with its share.
struct NamedTarget<'a> {
    name: &'a str,
    popularity: f64,
}

/// Draws the requests of a deployment's teams.
pub struct TraceGenerator<'a> {
    deployment: &'a deployment::FleetDeployment,
    plan: &'a TracePlan,
    targets: Vec<NamedTarget<'a>>,
    random: rngs::StdRng,
}

impl<'a> TraceGenerator<'a> {
    /// Makes the generator of a plan.
    #[must_use]
    pub fn new(deployment: &'a deployment::FleetDeployment, plan: &'a TracePlan) -> Self {
        Self {
            deployment,
            plan,
            targets: targets_of(deployment),
            random: rngs::StdRng::seed_from_u64(plan.seed),
        }
    }

    /// Draws the trace.
    #[must_use]
    pub fn generate(mut self) -> LoadTrace {
        let mut requests = Vec::new();
        for team in &self.deployment.teams {
            self.draw_completions(team, &mut requests);
            self.draw_orders(team, &mut requests);
        }
        requests.sort_by_key(|request| request.at_us);
        for (number, request) in requests.iter_mut().enumerate() {
            request.id = format!("s{}-{number}", self.plan.seed);
        }
        self.mark_rates(&mut requests);
        self.mark_idle(&mut requests);
        LoadTrace::new(requests)
    }

    fn draw_completions(
        &mut self,
        team: &deployment::DeployedTeam,
        requests: &mut Vec<TraceRequest>,
    ) {
        for at_us in self.arrivals(team, team.requests_per_second) {
            let model = self.draw_target();
            let body = TraceBody::Completion {
                model,
                shared_tokens: team.shared_prompt_tokens,
                own_tokens: self.draw_tokens(team.prompt_tokens),
                output_tokens: self.draw_tokens(team.output_tokens).max(1),
                stream: self.random.random::<f64>() < team.streamed_share,
                after_idle: false,
            };
            requests.push(request_of(team, at_us, body));
        }
    }

    fn draw_orders(&mut self, team: &deployment::DeployedTeam, requests: &mut Vec<TraceRequest>) {
        if self.deployment.services.is_empty() {
            return;
        }
        for at_us in self.arrivals(team, team.orders_per_second) {
            let choice = self.random.random_range(0..self.deployment.services.len());
            let service = &self.deployment.services[choice];
            let body = TraceBody::Order {
                service: service.name.clone(),
                tokens: service.call_tokens,
            };
            requests.push(request_of(team, at_us, body));
        }
    }

    /// Draws the arrival times of one kind of request in microseconds.
    fn arrivals(&mut self, team: &deployment::DeployedTeam, usual_per_second: f64) -> Vec<u64> {
        let plan = self.plan;
        let peak = usual_per_second * plan.peak_factor(&team.name);
        let mut clock = ArrivalClock::new(peak);
        let rate_at = |at_s| usual_per_second * plan.factor(&team.name, at_s);
        let mut arrivals = Vec::new();
        while let Some(at_s) = clock.next(&mut self.random, plan.duration_s, rate_at) {
            let at = std::time::Duration::from_secs_f64(at_s);
            arrivals.push(u64::try_from(at.as_micros()).unwrap_or(u64::MAX));
        }
        arrivals
    }

    fn draw_target(&mut self) -> String {
        let total: f64 = self.targets.iter().map(|target| target.popularity).sum();
        let mut draw = self.random.random::<f64>() * total;
        for target in &self.targets {
            draw -= target.popularity;
            if draw <= 0.0 {
                return target.name.to_owned();
            }
        }
        let last = self.targets.last();
        last.map_or_else(String::new, |target| target.name.to_owned())
    }

    fn draw_tokens(&mut self, range: deployment::TokenRange) -> u64 {
        self.random
            .random_range(range.min..=range.max.max(range.min))
    }

    /// Marks the requests that are within their team's rate.
    fn mark_rates(&self, requests: &mut [TraceRequest]) {
        let mut meters: collections::HashMap<_, _> = self
            .deployment
            .teams
            .iter()
            .map(|team| {
                let meter = RateMeter::new(team.tokens_per_second, team.burst_tokens);
                (team.name.as_str(), meter)
            })
            .collect();
        for request in requests {
            if let Some(meter) = meters.get_mut(request.team.as_str()) {
                request.inside_rate = meter.admit(request.at_us, request.tokens());
            }
        }
    }

    /// Marks the completions before which their model was idle.
    fn mark_idle(&self, requests: &mut [TraceRequest]) {
        let idle = std::time::Duration::from_secs_f64(self.plan.idle_s);
        let idle_us = u64::try_from(idle.as_micros()).unwrap_or(u64::MAX);
        let mut last_us = collections::HashMap::new();
        for request in requests {
            let at_us = request.at_us;
            if let TraceBody::Completion {
                model, after_idle, ..
            } = &mut request.body
            {
                let before = last_us.insert(model.clone(), at_us);
                *after_idle = before.is_none_or(|before| at_us - before >= idle_us);
            }
        }
    }
}

fn request_of(team: &deployment::DeployedTeam, at_us: u64, body: TraceBody) -> TraceRequest {
    TraceRequest {
        id: String::new(),
        at_us,
        team: team.name.clone(),
        inside_rate: true,
        body,
    }
}

/// Lists models and adapters; a model shares its popularity evenly with its adapters.
fn targets_of(deployment: &deployment::FleetDeployment) -> Vec<NamedTarget<'_>> {
    let mut targets = Vec::new();
    for model in &deployment.models {
        let adapters = model.adapters.iter().map(|adapter| adapter.name.as_str());
        let names: Vec<_> = [model.name.as_str()].into_iter().chain(adapters).collect();
        let sharers = u32::try_from(names.len()).unwrap_or(u32::MAX);
        let popularity = model.popularity / f64::from(sharers);
        targets.extend(
            names
                .into_iter()
                .map(|name| NamedTarget { name, popularity }),
        );
    }
    targets
}
