//! Faults and operations of the model, and the strategy that generates them.

use proptest::prelude::*;

/// One step of a run; indexes of members and messages are taken modulo their number.
#[derive(Debug, Clone)]
pub(crate) enum ModelStep {
    /// Time passes for all members.
    Advance { millis: u64 },
    /// Time passes, but one member does not run, as if its process were suspended.
    Freeze { member: usize, millis: u64 },
    /// All messages in flight arrive in order; each further round delivers the responses.
    DeliverAll { rounds: usize },
    /// Time passes in small increments while all messages arrive.
    Run { rounds: usize },
    /// One message arrives.
    Deliver { message: usize },
    /// One message is lost.
    Discard { message: usize },
    /// One message arrives and stays in flight.
    Duplicate { message: usize },
    /// The network is partitioned; bit `n` of `sides` is the side of member `n`.
    Partition { sides: u32 },
    /// One member is partitioned from all others.
    Isolate { member: usize },
    /// One member receives no messages, but can still send.
    BlockInbound { member: usize },
    /// A process crashes and restarts immediately.
    CrashAndRestart { member: usize },
    /// All network faults end.
    Heal,
    /// A process crashes.
    Crash { member: usize },
    /// A process crashes at its next fsync, before or after the data is durable.
    CrashAtSync { member: usize, durable: bool },
    /// A crashed process restarts.
    Restart { member: usize },
    /// A command is proposed.
    Propose { member: usize },
    /// A read is requested.
    Read { member: usize },
    /// A member is added, promoted or removed.
    Change {
        member: usize,
        subject: usize,
        kind: u8,
    },
    /// A leadership transfer is requested.
    Transfer { member: usize, target: usize },
    /// A snapshot is taken.
    Snapshot { member: usize },
}

/// Generates sequences of steps; steps that let the group make progress have greater weights.
pub(crate) fn steps() -> impl Strategy<Value = Vec<ModelStep>> {
    let step = prop_oneof![
        8 => (1_u64..120).prop_map(|millis| ModelStep::Advance { millis }),
        2 => (any::<usize>(), 100_u64..700)
            .prop_map(|(member, millis)| ModelStep::Freeze { member, millis }),
        8 => (1_usize..6).prop_map(|rounds| ModelStep::DeliverAll { rounds }),
        8 => any::<usize>().prop_map(|message| ModelStep::Deliver { message }),
        3 => any::<usize>().prop_map(|message| ModelStep::Discard { message }),
        3 => any::<usize>().prop_map(|message| ModelStep::Duplicate { message }),
        6 => (1_usize..50).prop_map(|rounds| ModelStep::Run { rounds }),
        1 => any::<u32>().prop_map(|sides| ModelStep::Partition { sides }),
        3 => (0_usize..3).prop_map(|member| ModelStep::Isolate { member }),
        2 => (0_usize..3).prop_map(|member| ModelStep::BlockInbound { member }),
        3 => Just(ModelStep::Heal),
        3 => (0_usize..3).prop_map(|member| ModelStep::CrashAndRestart { member }),
        1 => any::<usize>().prop_map(|member| ModelStep::Crash { member }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(member, durable)| ModelStep::CrashAtSync { member, durable }),
        4 => any::<usize>().prop_map(|member| ModelStep::Restart { member }),
        10 => any::<usize>().prop_map(|member| ModelStep::Propose { member }),
        4 => any::<usize>().prop_map(|member| ModelStep::Read { member }),
        4 => (any::<usize>(), any::<usize>(), any::<u8>())
            .prop_map(|(member, subject, kind)| ModelStep::Change { member, subject, kind }),
        2 => (any::<usize>(), any::<usize>())
            .prop_map(|(member, target)| ModelStep::Transfer { member, target }),
        2 => any::<usize>().prop_map(|member| ModelStep::Snapshot { member }),
    ];
    proptest::collection::vec(step, 50..400)
}
