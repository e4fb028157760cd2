//! What happens to the machines of the core in one run of the replacement model.

/// One event; machines are counted in the order in which they were first started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoreEvent {
    /// Time passes.
    Wait { millis: u64 },
    /// A new machine with an empty disk starts.
    StartSuccessor,
    /// A machine gets SIGTERM and never returns.
    Retire { machine: usize },
    /// A machine ends without notice and never returns.
    Vanish { machine: usize },
    /// A machine loses its disk and returns with an empty one.
    LoseDisk { machine: usize },
    /// A machine gets SIGTERM and returns with its disk.
    Restart { machine: usize },
    /// A machine is killed and returns with its disk.
    Kill { machine: usize },
    /// A machine does not run for a while.
    Freeze { machine: usize, millis: u64 },
    /// A machine is cut off from all others for a while. What is sent to or from it meanwhile arrives
    /// twice, long after the cut has healed.
    CutOff { machine: usize, millis: u64 },
    /// A command is proposed and acknowledged, if there is a leader that can commit it.
    Acknowledge,
}
