//! Applies the requests of operators to the configuration.

use std::sync;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;
use crate::declaration;
use crate::digest;
use crate::intent;
use crate::key;
use crate::name;

/// The maximum number of reasons in an outcome.
const MAX_REASONS: usize = 100;

/// The maximum number of lines of a plan's summary in a conflict.
const MAX_SUMMARY_LINES: usize = 20;

/// The maximum number of characters in a line of that summary.
const MAX_SUMMARY_CHARACTERS: usize = 300;

/// The configuration in force, its history, and the record of the operators' requests.
///
/// A plan is refused if its base is older than the revision that last changed the intent. Keys that
/// were given or withdrawn since do not affect a plan. A resent request gets its first outcome.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ConfigurationLedger {
    now_ms: u64,
    view: sync::Arc<control::ConfigurationView>,
    intent_revision: amount::RevisionNumber,
    author: Option<PlanAuthor>,
    history: control::ChangeHistory,
    withdrawn: control::WithdrawnKeys,
    operators: control::OperatorLedger,
}

/// The operator whose plan made the intent in force, and a summary of that plan.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PlanAuthor {
    operator: name::OperatorName,
    summary: Vec<String>,
}

impl ConfigurationLedger {
    /// Returns the configuration in force.
    pub(crate) fn view(&self) -> &sync::Arc<control::ConfigurationView> {
        &self.view
    }

    /// Returns the changes after a revision, or `None` if one of them is no longer kept.
    pub(crate) fn changes_since(
        &self,
        revision: amount::RevisionNumber,
    ) -> Option<Vec<control::ConfigurationChange>> {
        self.history.since(revision, self.view.revision)
    }

    /// Applies an operator's request once, and returns the recorded outcome to each repeat.
    pub(crate) fn apply_request(
        &mut self,
        request: &control::OperatorRequest,
        now_ms: u64,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        self.now_ms = self.now_ms.max(now_ms);
        let content = request_hash(command);
        if let Some(outcome) = self.operators.recorded_outcome(request, content) {
            return outcome;
        }
        let outcome = self.apply_command(command);
        self.operators
            .record(request, content, &outcome, self.now_ms);
        outcome
    }

    /// Puts a whole document in force if its number is higher than that of the document in force.
    pub(crate) fn declare(
        &mut self,
        document: &declaration::DeclaredDocument,
    ) -> control::ControlOutcome {
        let current = self.view.declared.as_ref().map(|current| current.number);
        let is_newer = current.is_none_or(|current| document.number > current);
        if is_newer {
            self.apply_change(control::ConfigurationChange::Declared {
                revision: self.view.revision.next(),
                document: document.clone(),
            });
        }
        control::ControlOutcome::Declared {
            in_force: current
                .max(Some(document.number))
                .unwrap_or(document.number),
            changed: is_newer,
        }
    }

    fn apply_command(&mut self, command: &control::ControlCommand) -> control::ControlOutcome {
        match command {
            control::ControlCommand::ConfirmPlan {
                request,
                base,
                intent,
                digest,
                ..
            } => self
                .check_base(*base)
                .unwrap_or_else(|| self.confirm(&request.operator, *base, intent.clone(), digest)),
            control::ControlCommand::ConfirmDelta {
                request,
                base,
                delta,
                digest,
                ..
            } => self.check_base(*base).unwrap_or_else(|| {
                let wanted = delta.applied_to(&self.view.intent);
                self.confirm(&request.operator, *base, wanted, digest)
            }),
            control::ControlCommand::GiveKey { base, record, .. } => self.give_key(*base, record),
            control::ControlCommand::WithdrawKey { id, .. } => self.withdraw_key(id),
            _ => control::ControlOutcome::invalid("this command is not an operator's"),
        }
    }

    /// Returns why a plan with this base is refused, if it is.
    fn check_base(&self, base: amount::RevisionNumber) -> Option<control::ControlOutcome> {
        if base > self.view.revision {
            return Some(self.base_ahead_outcome(base));
        }
        (base < self.intent_revision).then(|| self.conflict_outcome(base))
    }

    /// Puts the wanted intent in force if it is valid and its plan has the confirmed digest.
    fn confirm(
        &mut self,
        operator: &name::OperatorName,
        base: amount::RevisionNumber,
        wanted: intent::FleetIntent,
        digest: &str,
    ) -> control::ControlOutcome {
        let validation = intent::IntentValidation::of(&wanted, None);
        if !validation.is_valid() {
            return control::ControlOutcome::Invalid {
                reasons: truncated_lines(validation.lines(), MAX_REASONS),
            };
        }
        let wanted = wanted.normalized();
        let plan = intent::IntentPlan::between_normalized(base, &self.view.intent, &wanted);
        if plan.digest != digest {
            return control::ControlOutcome::DigestDiffers {
                expected: plan.digest,
            };
        }
        if !plan.is_empty() {
            self.apply_plan(operator, &plan, &wanted);
        }
        self.changed_outcome()
    }

    fn apply_plan(
        &mut self,
        operator: &name::OperatorName,
        plan: &intent::IntentPlan,
        wanted: &intent::FleetIntent,
    ) {
        let revision = self.view.revision.next();
        let delta = plan.delta(wanted);
        self.withdraw_team_keys(&delta.removed_teams, revision);
        self.apply_change(control::ConfigurationChange::Intent {
            revision,
            set: delta.set,
            removed_teams: delta.removed_teams,
            removed_models: delta.removed_models,
            removed_services: delta.removed_services,
        });
        self.intent_revision = revision;
        self.author = Some(PlanAuthor {
            operator: operator.clone(),
            summary: plan_summary(plan),
        });
    }

    /// Records the keys of removed teams as withdrawn, so that no resend restores them.
    fn withdraw_team_keys(&mut self, teams: &[name::TeamName], revision: amount::RevisionNumber) {
        if teams.is_empty() {
            return;
        }
        for record in self.view.keys.iter() {
            if teams.contains(&record.team) {
                self.withdrawn.push(&record.id, revision);
            }
        }
    }

    fn give_key(
        &mut self,
        base: amount::RevisionNumber,
        record: &key::KeyRecord,
    ) -> control::ControlOutcome {
        if base > self.view.revision {
            return self.base_ahead_outcome(base);
        }
        if self.view.keys.get(&record.id) == Some(record) {
            return self.changed_outcome();
        }
        if let Some(reason) = self.key_refusal(base, record) {
            return control::ControlOutcome::invalid(&reason);
        }
        self.apply_change(control::ConfigurationChange::KeyGiven {
            revision: self.view.revision.next(),
            record: record.clone(),
        });
        self.changed_outcome()
    }

    /// Returns why a key may not be given, if so.
    fn key_refusal(&self, base: amount::RevisionNumber, record: &key::KeyRecord) -> Option<String> {
        let id = &record.id;
        if let Some(fault) = record.fault() {
            return Some(format!("key `{id}`: {fault}"));
        }
        if self.view.keys.get(id).is_some() {
            return Some(format!("key `{id}`: it is given already; make another"));
        }
        if self.withdrawn.contains(id) {
            return Some(format!("key `{id}`: it was withdrawn; make another"));
        }
        let floor = self.withdrawn.floor();
        if base < floor {
            return Some(format!(
                "base {base}: the request may be an old one, sent again; ask under a new request number with the revision in force as base, {floor} or later"
            ));
        }
        if self.view.intent.team(&record.team).is_none() {
            return Some(format!("team `{}`: there is no such team", record.team));
        }
        None
    }

    fn withdraw_key(&mut self, id: &name::KeyId) -> control::ControlOutcome {
        if self.withdrawn.contains(id) {
            return self.changed_outcome();
        }
        if self.view.keys.get(id).is_none() {
            return control::ControlOutcome::NoSuchKey { id: id.clone() };
        }
        let revision = self.view.revision.next();
        self.withdrawn.push(id, revision);
        self.apply_change(control::ConfigurationChange::KeyWithdrawn {
            revision,
            id: id.clone(),
        });
        self.changed_outcome()
    }

    /// Applies a change that makes the next revision, and adds it to the history.
    fn apply_change(&mut self, change: control::ConfigurationChange) {
        let applied = sync::Arc::make_mut(&mut self.view).apply(&change);
        debug_assert!(applied.is_ok(), "the change makes the next revision");
        self.history.push(change);
    }

    fn changed_outcome(&self) -> control::ControlOutcome {
        control::ControlOutcome::Changed {
            revision: self.view.revision,
        }
    }

    fn base_ahead_outcome(&self, base: amount::RevisionNumber) -> control::ControlOutcome {
        control::ControlOutcome::invalid(&format!(
            "base {base}: revision {} is in force; read the configuration again",
            self.view.revision
        ))
    }

    fn conflict_outcome(&self, base: amount::RevisionNumber) -> control::ControlOutcome {
        let author = self.author.clone().unwrap_or(PlanAuthor {
            operator: name::OperatorName::from(""),
            summary: Vec::new(),
        });
        control::ControlOutcome::Conflict(control::PlanConflict {
            base,
            current: self.view.revision,
            operator: author.operator,
            summary: author.summary,
        })
    }
}

/// Returns the first lines, and a last line that says how many were left out.
fn truncated_lines(mut lines: Vec<String>, max_lines: usize) -> Vec<String> {
    if lines.len() > max_lines {
        let omitted = lines.len() - max_lines;
        lines.truncate(max_lines);
        lines.push(format!("and {omitted} more"));
    }
    lines
}

fn plan_summary(plan: &intent::IntentPlan) -> Vec<String> {
    let shortened = plan
        .lines()
        .into_iter()
        .map(|line| line.chars().take(MAX_SUMMARY_CHARACTERS).collect());
    truncated_lines(shortened.collect(), MAX_SUMMARY_LINES)
}

/// Returns a hash of what an operator asked for, by which a resend is told from another request.
///
/// The time of a request is left out, and so is the base of a request to give a key.
fn request_hash(command: &control::ControlCommand) -> digest::ShortHash {
    let digest = match command {
        control::ControlCommand::ConfirmPlan {
            base,
            intent,
            digest,
            ..
        } => plan_request_digest(*base, digest, &intent.content_digest()),
        control::ControlCommand::ConfirmDelta {
            base,
            wanted,
            digest,
            ..
        } => plan_request_digest(*base, digest, wanted),
        control::ControlCommand::GiveKey { record, .. } => digest::ContentDigest::of_parts(&[
            b"give",
            record.id.as_bytes(),
            record.team.as_bytes(),
            record.salt.as_bytes(),
            record.hash.as_bytes(),
        ]),
        control::ControlCommand::WithdrawKey { id, .. } => {
            digest::ContentDigest::of_parts(&[b"withdraw", id.as_bytes()])
        }
        _ => digest::ContentDigest::of_parts(&[]),
    };
    digest.short_hash()
}

fn plan_request_digest(
    base: amount::RevisionNumber,
    digest: &str,
    wanted: &str,
) -> digest::ContentDigest {
    let base = base.0.to_be_bytes();
    digest::ContentDigest::of_parts(&[b"plan", &base, digest.as_bytes(), wanted.as_bytes()])
}
