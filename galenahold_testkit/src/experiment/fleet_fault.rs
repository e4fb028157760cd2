//! A fault of an experiment.

use serde::{Deserialize, Serialize};

use crate::control;

/// Something that goes wrong, or is mended; instances and servers go by their names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
#[non_exhaustive]
pub enum FleetFault {
    /// Kills an instance.
    KillInstance {
        /// The instance, such as `instance-1`.
        instance: String,
    },
    /// Starts an instance again.
    StartInstance {
        /// The instance.
        instance: String,
    },
    /// Asks an instance to stop in order.
    StopInstance {
        /// The instance.
        instance: String,
    },
    /// Freezes an instance.
    FreezeInstance {
        /// The instance.
        instance: String,
    },
    /// Lets a frozen instance go on.
    ThawInstance {
        /// The instance.
        instance: String,
    },
    /// Cuts all links between an instance and the others, without closing connections.
    IsolateInstance {
        /// The instance.
        instance: String,
    },
    /// Mends all links between instances.
    HealLinks,
    /// Ends a backend server at once.
    CrashServer {
        /// The server, such as `alama-llm-1`.
        server: String,
    },
    /// Starts a backend server anew.
    RestartServer {
        /// The server.
        server: String,
    },
    /// Makes a backend server misbehave.
    ControlServer {
        /// The server.
        server: String,
        /// How.
        control: control::ServerControl,
    },
    /// Divides the speed of the weight store.
    SlowStore {
        /// The divisor.
        divisor: u64,
    },
    /// Stops the weight store, or lets it go on.
    StallStore {
        /// Whether to stop.
        on: bool,
    },
    /// Withdraws a team's key.
    WithdrawKey {
        /// The team.
        team: String,
    },
}
