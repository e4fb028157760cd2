//! All short sequences in which machines are frozen or cut off for a while, beside machines that end for good.

use std::env;

use crate::core_event::CoreEvent;
use crate::core_run::CoreRun;
use crate::core_timings;

/// Time from the end of a machine to the start of its successor.
const SUCCESSOR_MILLIS: u64 = 150;

/// Times between two outages: shorter than the silence after which a learner takes a voter's place, and longer.
const PAUSES_MILLIS: [u64; 3] = [0, 240, 780];

/// How long machines are frozen or cut off: longer than the silence after which a learner takes a voter's place.
const OUTAGES_MILLIS: [u64; 2] = [1_200, 2_400];

/// Time between two looks at the number of machines that count as lost.
const POLL_MILLIS: u64 = 60;

/// The longest time until no machine counts as lost.
const SETTLE_MILLIS: u64 = 20_000;

/// What happens to a machine.
#[derive(Debug, Clone, Copy)]
enum Outage {
    Freeze { millis: u64 },
    CutOff { millis: u64 },
    Vanish,
}

impl CoreRun {
    /// Returns the leader, if there is one, and another machine to which nothing has happened.
    fn victims(&self) -> Vec<usize> {
        let leader = self.group.leader();
        let others = 0..self.group.machine_count();
        let follower = others
            .filter(|machine| Some(*machine) != leader)
            .find(|machine| self.group.is_sound(*machine));
        leader.into_iter().chain(follower).collect()
    }

    /// Returns the run after another machine may be lost, and a pause.
    fn after_pause(&self, millis: u64) -> Self {
        let mut run = self.clone();
        run.wait_until_lost_at_most(run.group.tolerated() - 1);
        run.apply(CoreEvent::Wait { millis });
        run
    }

    /// Returns the run after one more outage, or `None` if more machines count as lost than the group tolerates.
    fn after_outage(&self, machine: usize, outage: Outage) -> Option<Self> {
        let mut run = self.clone();
        run.apply(match outage {
            Outage::Freeze { millis } => CoreEvent::Freeze { machine, millis },
            Outage::CutOff { millis } => CoreEvent::CutOff { machine, millis },
            Outage::Vanish => CoreEvent::Vanish { machine },
        });
        if run.group.lost() > run.group.tolerated() {
            return None;
        }
        if matches!(outage, Outage::Vanish) {
            run.apply(CoreEvent::Wait {
                millis: SUCCESSOR_MILLIS,
            });
            run.apply(CoreEvent::StartSuccessor);
        }
        Some(run)
    }

    /// Returns all runs with one more outage.
    fn with_outages(&self) -> Vec<Self> {
        let pauses = OUTAGES_MILLIS.into_iter();
        let returning =
            pauses.flat_map(|millis| [Outage::Freeze { millis }, Outage::CutOff { millis }]);
        let outages: Vec<Outage> = returning.chain([Outage::Vanish]).collect();
        let mut runs = Vec::new();
        let is_calm = self.events.is_empty();
        let pauses = if is_calm {
            &PAUSES_MILLIS[..1]
        } else {
            &PAUSES_MILLIS[..]
        };
        for start in pauses.iter().map(|millis| self.after_pause(*millis)) {
            for machine in start.victims() {
                let after = |outage: &Outage| start.after_outage(machine, *outage);
                runs.extend(outages.iter().filter_map(after));
            }
        }
        runs
    }

    fn wait_until_lost_at_most(&mut self, lost: usize) {
        let mut waited_millis = 0;
        while self.group.lost() > lost {
            assert!(
                waited_millis < SETTLE_MILLIS,
                "{}",
                self.report("machines still count as lost")
            );
            self.apply(CoreEvent::Wait {
                millis: POLL_MILLIS,
            });
            waited_millis += POLL_MILLIS;
        }
    }

    /// Waits until no machine counts as lost, and checks that the group depends on no machine that is gone and has removed
    /// none that runs.
    fn settle(&mut self) {
        self.wait_until_lost_at_most(0);
        self.apply(CoreEvent::Acknowledge);
        let gone = self.group.gone_voters();
        assert!(
            gone.is_empty(),
            "{}",
            self.report(&format!("gone machines {gone:?} are voters"))
        );
        let removed = self.group.removed_machines();
        assert!(
            removed.is_empty(),
            "{}",
            self.report(&format!("running machines {removed:?} were removed"))
        );
    }

    /// Checks that any two machines may end now; returns the number of sequences.
    fn check_losses(&self) -> usize {
        let sound = 0..self.group.machine_count();
        let sound: Vec<usize> = sound
            .filter(|machine| self.group.is_sound(*machine))
            .collect();
        let mut checked = 0;
        for (position, first) in sound.iter().enumerate() {
            for second in &sound[position + 1..] {
                let mut run = self.clone();
                run.apply(CoreEvent::Vanish { machine: *first });
                run.apply(CoreEvent::Vanish { machine: *second });
                assert!(
                    run.group.recovers(),
                    "{}",
                    run.report("the group does not recover")
                );
                checked += 1;
            }
        }
        checked
    }

    /// Checks all runs with `depth` outages followed by two losses; returns their number.
    fn check_outages(&self, depth: usize) -> usize {
        if depth == 0 {
            let mut run = self.clone();
            run.settle();
            return run.check_losses();
        }
        let runs = self.with_outages();
        runs.iter().map(|run| run.check_outages(depth - 1)).sum()
    }

    fn report(&self, failure: &str) -> String {
        format!(
            "{failure} after {:?}:{}",
            self.events,
            self.group.describe()
        )
    }
}

/// Returns the number of outages before the two losses; `OUTAGE_DEPTH` sets a greater one for longer runs.
fn depth() -> usize {
    let depth = env::var("OUTAGE_DEPTH").ok();
    depth.map_or(2, |depth| depth.parse().expect("a number"))
}

/// A learner took the place of a frozen voter instead of one that had ended, which stayed a voter beside running machines until two
/// more losses left no quorum.
#[test]
fn two_more_machines_may_end_after_an_outage_beside_a_loss() {
    let checked = CoreRun::new(2).check_outages(depth());
    println!("{checked} sequences");
    assert!(checked > 1_000);
}

/// The same with the times of the product and of the day on which it was seen.
#[test]
fn two_more_machines_may_end_after_the_leader_was_frozen_beside_a_loss() {
    let timings = core_timings::CoreTimings::PRODUCT;
    let start = CoreRun::with_timings(2, timings);
    let frozen = start.group.leader().expect("the group has a leader");
    let outages = [
        Outage::Freeze { millis: 4_700 },
        Outage::CutOff { millis: 4_700 },
        Outage::Freeze { millis: 9_000 },
    ];
    for outage in outages {
        let start = start
            .after_outage(frozen, outage)
            .expect("one machine is lost");
        for pause_millis in (0..2_400).step_by(300) {
            let start = start.after_pause(pause_millis);
            for machine in start.victims() {
                let run = start.after_outage(machine, Outage::Vanish);
                let mut run = run.expect("two machines are lost");
                run.settle();
                run.check_losses();
            }
        }
    }
}
