//! The review of a declaration before it is sent.

use std::collections;
use std::time;

use crate::declaration;
use crate::declaration::{DeclaredField, DeclaredPart};

/// Reviews a declaration: the errors for which the fleet refuses it, and what can't work as written.
#[derive(Debug)]
pub struct DeclarationReview<'a> {
    declaration: &'a declaration::FleetDeclaration,
    in_force: Option<&'a declaration::FleetDeclaration>,
    step: Option<time::Duration>,
    findings: Vec<declaration::DeclarationFinding>,
}

impl<'a> DeclarationReview<'a> {
    /// Creates a review.
    ///
    /// `step` is the duration of an engine's step, which produces one token of each stream; it is
    /// not declared, and without it no allowed pause is compared with it.
    #[must_use]
    pub fn new(
        declaration: &'a declaration::FleetDeclaration,
        step: Option<time::Duration>,
    ) -> Self {
        Self {
            declaration,
            in_force: None,
            step,
            findings: Vec::new(),
        }
    }

    /// Sets the declaration in force, which the reviewed one is to replace.
    #[must_use]
    pub fn with_in_force(self, in_force: &'a declaration::FleetDeclaration) -> Self {
        Self {
            in_force: Some(in_force),
            ..self
        }
    }

    /// Returns all findings, the errors first.
    #[must_use]
    pub fn findings(mut self) -> Vec<declaration::DeclarationFinding> {
        for (place, error) in self.declaration.errors() {
            self.findings.push(declaration::DeclarationFinding {
                severity: declaration::FindingSeverity::Error,
                place,
                problem: error.to_string(),
            });
        }
        self.review_number();
        for (index, route) in self.declaration.routes.iter().enumerate() {
            self.review_route(index, route);
        }
        self.review_services();
        for (index, team) in self.declaration.teams.iter().enumerate() {
            self.review_team(DeclaredPart::Team(index), team);
        }
        self.review_limits();
        self.findings
    }

    fn review_number(&mut self) {
        let number = self.declaration.number;
        let replaced = self
            .in_force
            .filter(|in_force| in_force.number >= number && *in_force != self.declaration);
        if let Some(in_force) = replaced {
            self.findings.push(declaration::DeclarationFinding {
                severity: declaration::FindingSeverity::Error,
                place: declaration::DeclarationPlace::field(
                    DeclaredPart::Whole,
                    DeclaredField::Number,
                ),
                problem: format!(
                    "number {number} is not above {}, which is in force",
                    in_force.number
                ),
            });
        }
    }

    fn warn(&mut self, part: DeclaredPart, field: DeclaredField, problem: String) {
        self.findings.push(declaration::DeclarationFinding {
            severity: declaration::FindingSeverity::Warning,
            place: declaration::DeclarationPlace::field(part, field),
            problem,
        });
    }

    fn review_route(&mut self, index: usize, route: &declaration::DeclaredRoute) {
        let part = DeclaredPart::Route(index);
        let name = &route.name;
        if route.host.is_empty() {
            let problem = format!("route \"{name}\": no request names an empty host");
            self.warn(part, DeclaredField::Host, problem);
        }
        if route.path_prefix.contains(['?', '#']) {
            let problem = format!(
                "route \"{name}\": no path contains ? or #, so \"{}\" never matches",
                route.path_prefix
            );
            self.warn(part, DeclaredField::PathPrefix, problem);
        }
        self.review_shares(index, route);
        self.review_times(part, route);
    }

    fn review_shares(&mut self, index: usize, route: &declaration::DeclaredRoute) {
        let mut seen = collections::HashSet::new();
        let is_served = route.shares.iter().any(|share| share.weight > 0);
        for (position, share) in route.shares.iter().enumerate() {
            let part = DeclaredPart::Share {
                route: index,
                share: position,
            };
            let (name, service) = (&route.name, &share.service);
            if share.weight == 0 && is_served {
                let problem = format!(
                    "route \"{name}\": service \"{service}\" has weight 0 and gets no calls"
                );
                self.warn(part, DeclaredField::Weight, problem);
            }
            if !seen.insert(service) {
                let problem = format!("route \"{name}\": service \"{service}\" is listed twice");
                self.warn(part, DeclaredField::Name, problem);
            }
        }
    }

    fn review_times(&mut self, part: DeclaredPart, route: &declaration::DeclaredRoute) {
        let name = &route.name;
        let (timeout, objective) = (route.timeout.as_millis(), route.objective.as_millis());
        if route.objective.is_zero() {
            let problem = format!("route \"{name}\": no call meets an objective of 0 ms");
            self.warn(part, DeclaredField::Objective, problem);
        }
        if objective > timeout && timeout > 0 {
            let problem = format!(
                "route \"{name}\": the objective of {objective} ms is above the timeout of {timeout} ms"
            );
            self.warn(part, DeclaredField::Objective, problem);
        }
        let Some(gap) = route.event_gap else {
            return;
        };
        let gap_ms = gap.as_millis();
        if !route.kind.is_stream() {
            let problem = format!(
                "route \"{name}\": an allowed pause of {gap_ms} ms, but its answers are no streams"
            );
            self.warn(part, DeclaredField::EventGap, problem);
        } else if gap > route.timeout {
            let problem = format!(
                "route \"{name}\": the allowed pause of {gap_ms} ms is above the timeout of {timeout} ms"
            );
            self.warn(part, DeclaredField::EventGap, problem);
        } else if gap.is_zero() {
            let problem = format!("route \"{name}\": no stream meets an allowed pause of 0 ms");
            self.warn(part, DeclaredField::EventGap, problem);
        } else {
            self.review_step(part, route, gap);
        }
    }

    /// Compares the allowed pause with the steps of one event on each engine of the route.
    fn review_step(
        &mut self,
        part: DeclaredPart,
        route: &declaration::DeclaredRoute,
        gap: time::Duration,
    ) {
        let Some(step) = self.step else {
            return;
        };
        let declaration = self.declaration;
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let service = declaration.service(share.service.as_str());
            let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let event = step.saturating_mul(engine.tokens_per_event);
            if event > gap {
                let problem = format!(
                    "route \"{}\": an event of service \"{}\" takes {} ms ({} steps), above the allowed pause of {} ms",
                    route.name,
                    share.service,
                    event.as_millis(),
                    engine.tokens_per_event,
                    gap.as_millis()
                );
                self.warn(part, DeclaredField::EventGap, problem);
            }
        }
    }

    fn review_services(&mut self) {
        let declaration = self.declaration;
        let shares = declaration.routes.iter().flat_map(|route| &route.shares);
        let used: collections::HashSet<_> = shares
            .filter(|share| share.weight > 0)
            .map(|share| &share.service)
            .collect();
        for (index, service) in declaration.services.iter().enumerate() {
            let part = DeclaredPart::Service(index);
            let name = &service.name;
            if !used.contains(name) {
                let problem = format!("service \"{name}\": no route sends calls to it");
                self.warn(part, DeclaredField::Name, problem);
            }
            if service.max_connections == 0 {
                let problem = format!("service \"{name}\": no server accepts a connection");
                self.warn(part, DeclaredField::MaxConnections, problem);
            }
            if let Some(engine) = &service.engine {
                self.review_engine(index, service, engine);
            }
        }
    }

    fn review_engine(
        &mut self,
        index: usize,
        service: &declaration::DeclaredService,
        engine: &declaration::DeclaredEngine,
    ) {
        let part = DeclaredPart::Engine(index);
        let name = &service.name;
        let counts = [
            (DeclaredField::Slots, u64::from(engine.slots)),
            (DeclaredField::CacheTokens, engine.cache_tokens.0),
            (
                DeclaredField::TokensPerEvent,
                u64::from(engine.tokens_per_event),
            ),
            (DeclaredField::Models, engine.models.len() as u64),
        ];
        for (field, count) in counts {
            if count == 0 {
                let problem =
                    format!("service \"{name}\": its engines can run no request with 0 here");
                self.warn(part, field, problem);
            }
        }
        if engine.store_loads_per_s <= 0.0 {
            let problem =
                format!("service \"{name}\": no model is ever loaded from the weight store");
            self.warn(part, DeclaredField::StoreLoads, problem);
        }
        let mut seen = collections::HashSet::new();
        for (position, model) in engine.models.iter().enumerate() {
            let part = DeclaredPart::Model {
                service: index,
                model: position,
            };
            if !seen.insert(&model.name) {
                let problem = format!(
                    "service \"{name}\": model \"{}\" is listed twice",
                    model.name
                );
                self.warn(part, DeclaredField::Name, problem);
            }
            self.review_model(part, engine, model);
        }
    }

    fn review_model(
        &mut self,
        part: DeclaredPart,
        engine: &declaration::DeclaredEngine,
        model: &declaration::DeclaredModel,
    ) {
        let name = &model.name;
        let (memory, weights) = (engine.weight_memory.0, model.weights.0);
        if weights > memory {
            let problem = format!(
                "model \"{name}\": no engine can hold it, its weights take {weights} of {memory} bytes"
            );
            self.warn(part, DeclaredField::Weights, problem);
            return;
        }
        if model.adapters.is_empty() {
            return;
        }
        let adapter = model.adapter.0;
        if adapter > memory - weights {
            let problem = format!(
                "model \"{name}\": no engine can hold it with an adapter, which take {weights} and {adapter} of {memory} bytes"
            );
            self.warn(part, DeclaredField::AdapterMemory, problem);
        }
        let (adapters, slots) = (model.adapters.len(), engine.adapter_slots);
        if adapters as u64 > u64::from(slots) {
            let problem = format!(
                "model \"{name}\": {adapters} adapters, but an engine has {slots} adapter slots"
            );
            self.warn(part, DeclaredField::Adapters, problem);
        }
    }

    fn review_team(&mut self, part: DeclaredPart, team: &declaration::DeclaredTeam) {
        let name = &team.name;
        if team.secrets.is_empty() {
            let problem = format!("team \"{name}\": it has no key, so no caller belongs to it");
            self.warn(part, DeclaredField::Keys, problem);
        }
        let burst = team.burst;
        if !team.is_limited() {
            if burst > 0 {
                let problem =
                    format!("team \"{name}\": a burst of {burst} without a rate limits nothing");
                self.warn(part, DeclaredField::Burst, problem);
            }
            return;
        }
        let least = match team.charge {
            declaration::TeamCharge::Calls => 1,
            declaration::TeamCharge::Tokens { unstated } => unstated.0.max(1),
        };
        if burst < least {
            let problem = format!(
                "team \"{name}\": a call is charged {least}, which its burst of {burst} never allows"
            );
            self.warn(part, DeclaredField::Burst, problem);
        }
    }

    fn review_limits(&mut self) {
        let limits = self.declaration.limits;
        let zeros = [
            (DeclaredField::HeadSize, limits.head.0 == 0),
            (DeclaredField::HeadTimeout, limits.head_timeout.is_zero()),
            (DeclaredField::IdleTimeout, limits.idle_timeout.is_zero()),
        ];
        for (field, is_zero) in zeros {
            if is_zero {
                let problem = "a limit of 0 refuses all callers".to_owned();
                self.warn(DeclaredPart::Limits, field, problem);
            }
        }
    }
}
