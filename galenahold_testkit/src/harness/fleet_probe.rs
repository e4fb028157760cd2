//! Looks at a fleet through the operators' face of single instances.

use std::net;
use std::time;

use serde_json::{Value, json};

use super::{CallerAnswer, FleetCaller, InstanceFleet, InstanceProcess, RevisionSample};
use crate::testkit_error::TestkitError;

/// Time that one look may take unless another is set.
const LOOK_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Calls the operators' face of one instance at a time, without trying others.
#[derive(Debug, Clone)]
pub struct FleetProbe {
    names: Vec<String>,
    addresses: Vec<net::SocketAddr>,
    credential: String,
    timeout: time::Duration,
}

impl FleetProbe {
    /// Makes a probe of a fleet, which goes on when instances are restarted.
    #[must_use]
    pub fn new(fleet: &InstanceFleet) -> Self {
        let names = fleet.instances().iter().map(InstanceProcess::name);
        Self {
            names: names.map(str::to_owned).collect(),
            addresses: fleet.operators(),
            credential: fleet.operator_credential().to_owned(),
            timeout: LOOK_TIMEOUT,
        }
    }

    /// Calls as another operator.
    #[must_use]
    pub fn credential(mut self, credential: &str) -> Self {
        credential.clone_into(&mut self.credential);
        self
    }

    /// Gives up a call after this time.
    #[must_use]
    pub fn timeout(mut self, timeout: time::Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the instances that it knows.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.addresses.len()
    }

    /// Sends a GET request to one instance.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub fn get(&self, instance: usize, path: &str) -> Result<CallerAnswer, TestkitError> {
        self.caller(instance).get(path)
    }

    /// Sends a POST request to one instance.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub fn post(
        &self,
        instance: usize,
        path: &str,
        body: &Value,
    ) -> Result<CallerAnswer, TestkitError> {
        self.caller(instance).post(path, body)
    }

    /// Returns the revision in force at one instance, if it answers.
    #[must_use]
    pub fn revision(&self, instance: usize) -> Option<RevisionSample> {
        let document = self.get(instance, "/v1/revision").ok()?.json();
        Some(RevisionSample {
            revision: document["revision"].as_u64()?,
            fresh: document["fresh"].as_bool()?,
        })
    }

    /// Returns the control group's state as its leader gives it to one instance.
    #[must_use]
    pub fn status(&self, instance: usize) -> Option<Value> {
        let answer = self.get(instance, "/v1/status").ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Returns the position of the leader, as one instance reaches it.
    #[must_use]
    pub fn leader(&self, instance: usize) -> Option<usize> {
        let status = self.status(instance)?;
        let leader = status["leader"].as_str()?;
        self.names.iter().position(|name| name == leader)
    }

    /// Plans an intent and confirms it under a request id, both at one instance.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes; a refusal is an answer.
    pub fn confirm(
        &self,
        instance: usize,
        request: &str,
        intent: &Value,
    ) -> Result<CallerAnswer, TestkitError> {
        let plan = self.post(instance, "/v1/plans", &json!({ "intent": intent }))?;
        if plan.status != 200 {
            return Ok(plan);
        }
        let plan = plan.json();
        self.post(
            instance,
            "/v1/plans/confirm",
            &json!({
                "request": request,
                "base": plan["base"],
                "digest": plan["digest"],
                "intent": intent,
            }),
        )
    }

    fn caller(&self, instance: usize) -> FleetCaller {
        FleetCaller::new(self.addresses[instance])
            .key(&self.credential)
            .timeout(self.timeout)
    }
}
