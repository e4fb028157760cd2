//! What can happen to a group.

use proptest::prelude::*;

/// One step of a run; members and messages are picked modulo their number.
#[derive(Debug, Clone)]
pub(crate) enum ModelStep {
    /// Time passes, and all members see it.
    Advance { millis: u64 },
    /// Time passes while one member sees nothing, as if its process were frozen.
    Freeze { member: usize, millis: u64 },
    /// All messages under way arrive in order, and their answers, for some rounds.
    DeliverAll { rounds: usize },
    /// Time passes in small pieces while all messages arrive.
    Run { rounds: usize },
    /// One message arrives.
    Deliver { message: usize },
    /// One message is lost.
    Discard { message: usize },
    /// One message arrives and stays under way.
    Duplicate { message: usize },
    /// Members of different sides don't reach each other.
    Partition { sides: u32 },
    /// One member doesn't reach the others.
    Isolate { member: usize },
    /// One member gets no messages, but its own arrive.
    BlockInbound { member: usize },
    /// A process dies and starts again at once.
    CrashAndRestart { member: usize },
    /// All members reach each other.
    Heal,
    /// A process dies.
    Crash { member: usize },
    /// A process dies at its next sync, before or after the data is durable.
    CrashAtSync { member: usize, durable: bool },
    /// A process starts again.
    Restart { member: usize },
    /// A command is proposed.
    Propose { member: usize },
    /// A read is asked for.
    Read { member: usize },
    /// A member is added, promoted or removed.
    Change {
        member: usize,
        subject: usize,
        kind: u8,
    },
    /// Leadership is to be handed over.
    Transfer { member: usize, target: usize },
    /// A snapshot is taken.
    Snapshot { member: usize },
}

/// Makes steps, with those that let a group get on more often.
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
