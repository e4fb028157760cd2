//! A sequence of events and the simulated core after it.

use crate::core_event::CoreEvent;
use crate::core_group;
use crate::core_timings;

/// Time between two events: longer than the silence after which a learner takes a voter's place, and shorter than the time
/// that a machine has to catch up.
const PAUSE_MILLIS: u64 = 600;

/// How long a machine is frozen or cut off; longer than the silence after which a learner takes its place.
pub(crate) const OUTAGE_MILLIS: u64 = 1_200;

/// The machines that are lost in turn.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Victims {
    Leaders,
    FollowersBetween,
}

/// A sequence of events and the group after it.
#[derive(Debug, Clone)]
pub(crate) struct CoreRun {
    pub(crate) group: core_group::CoreGroup,
    pub(crate) events: Vec<CoreEvent>,
}

impl CoreRun {
    pub(crate) fn new(tolerated: usize) -> Self {
        Self::with_timings(tolerated, core_timings::CoreTimings::SHORT)
    }

    pub(crate) fn with_timings(tolerated: usize, timings: core_timings::CoreTimings) -> Self {
        Self {
            group: core_group::CoreGroup::new(tolerated, timings),
            events: Vec::new(),
        }
    }

    /// Starts successors and waits until they have caught up.
    pub(crate) fn with_successors(mut self, count: usize) -> Self {
        for _ in 0..count {
            self.apply(CoreEvent::StartSuccessor);
        }
        self.apply(CoreEvent::Wait {
            millis: core_timings::CoreTimings::SHORT.catch_up_millis + 100,
        });
        self
    }

    pub(crate) fn apply(&mut self, event: CoreEvent) {
        self.events.push(event);
        self.group.apply(event);
    }

    /// Ends machines without notice, starts as many successors shortly after, and waits.
    pub(crate) fn replace(&mut self, machines: &[usize], pause_millis: u64) {
        for machine in machines {
            self.apply(CoreEvent::Vanish { machine: *machine });
        }
        self.apply(CoreEvent::Wait { millis: 200 });
        for _ in machines {
            self.apply(CoreEvent::StartSuccessor);
        }
        self.apply(CoreEvent::Wait {
            millis: pause_millis,
        });
        self.apply(CoreEvent::Acknowledge);
        assert_eq!(self.group.lost(), 0, "the successors have caught up");
    }

    /// Returns the leader, after waiting for one if there is none.
    pub(crate) fn await_leader(&mut self) -> usize {
        for _ in 0..200 {
            if let Some(leader) = self.group.leader() {
                return leader;
            }
            self.apply(CoreEvent::Wait { millis: 20 });
        }
        panic!(
            "no leader after {:?}:{}",
            self.events,
            self.group.describe()
        );
    }

    /// Ends the leader, or each other time a follower, without notice before each pause, and starts a successor in it.
    pub(crate) fn lose_in_turn(
        &mut self,
        pauses_millis: &[u64],
        successor_after_millis: u64,
        victims: Victims,
    ) {
        for (number, pause_millis) in pauses_millis.iter().enumerate() {
            let leader = self.await_leader();
            let machine = match victims {
                Victims::FollowersBetween if number.is_multiple_of(2) => (0..leader)
                    .chain(leader + 1..self.group.machine_count())
                    .find(|machine| self.group.is_sound(*machine))
                    .expect("more than one machine runs"),
                _ => leader,
            };
            self.apply(CoreEvent::Vanish { machine });
            self.apply(CoreEvent::Wait {
                millis: successor_after_millis,
            });
            self.apply(CoreEvent::StartSuccessor);
            self.apply(CoreEvent::Wait {
                millis: pause_millis - successor_after_millis,
            });
        }
    }

    /// Returns the run after the events, or `None` if more machines count as lost, or ended without
    /// notice at about the same time, than the group tolerates.
    fn after(&self, events: &[CoreEvent]) -> Option<Self> {
        let mut run = self.clone();
        for event in events {
            run.apply(*event);
            let most = run.group.lost().max(run.group.unproven());
            if most > run.group.tolerated() {
                return None;
            }
        }
        Some(run)
    }

    /// Returns the runs with one more event, at once or after a pause.
    fn continuations(&self) -> Vec<Self> {
        let pause = CoreEvent::Wait {
            millis: PAUSE_MILLIS,
        };
        let starts = [self.after(&[]), self.after(&[pause])];
        let mut runs = Vec::new();
        for start in starts.into_iter().flatten() {
            for machine in 0..start.group.machine_count() {
                if !start.group.is_sound(machine) {
                    continue;
                }
                let events = [
                    CoreEvent::Retire { machine },
                    CoreEvent::Vanish { machine },
                    CoreEvent::LoseDisk { machine },
                    CoreEvent::Restart { machine },
                    CoreEvent::Kill { machine },
                    CoreEvent::Freeze {
                        machine,
                        millis: OUTAGE_MILLIS,
                    },
                    CoreEvent::CutOff {
                        machine,
                        millis: OUTAGE_MILLIS,
                    },
                ];
                let followed = events
                    .iter()
                    .filter_map(|event| start.after(&[*event, CoreEvent::Acknowledge]));
                runs.extend(followed);
            }
        }
        runs
    }

    /// Checks this run and all that follow it with up to `depth` more events; returns their number.
    pub(crate) fn check_all(&self, depth: usize) -> usize {
        let mut checked = 0;
        if depth > 0 {
            for run in self.continuations() {
                checked += run.check_all(depth - 1);
            }
        }
        let mut last = self.group.clone();
        assert!(
            last.recovers(),
            "the group does not recover after {:?}:{}",
            self.events,
            last.describe()
        );
        checked + 1
    }
}
