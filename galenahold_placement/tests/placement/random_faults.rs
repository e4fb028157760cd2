//! Random sequences of faults: no replica loads without a decision, and memory is never
//! overcommitted; after recovery every waiting model is loaded.

use std::time;

use galenahold_placement::engine;
use proptest::prelude::*;
use proptest::strategy;

use crate::fleet_model::{FleetModel, artifact, model};

const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];
const SERVERS: [&str; 3] = ["one", "two", "three"];

#[derive(Debug, Clone)]
enum FaultStep {
    Wait {
        millis: u64,
    },
    Tick,
    Demand {
        model: usize,
        waiting: u32,
    },
    Work {
        model: usize,
        server: usize,
        in_flight: u32,
    },
    Announce {
        server: usize,
    },
    Deliver {
        nth: usize,
        lose_answer: bool,
    },
    LoseOrder {
        nth: usize,
    },
    SendFrozenOrder,
    RestartServer {
        server: usize,
    },
    ChangeLeader,
    EndEarlierLeaders,
}

fn any_step() -> impl strategy::Strategy<Value = FaultStep> {
    let (models, servers) = (0..MODELS.len(), 0..SERVERS.len());
    prop_oneof![
        6 => (10_u64..3_000).prop_map(|millis| FaultStep::Wait { millis }),
        6 => Just(FaultStep::Tick),
        6 => (models.clone(), 0_u32..5).prop_map(|(model, waiting)| FaultStep::Demand { model, waiting }),
        3 => (models, servers.clone(), 0_u32..3).prop_map(|(model, server, in_flight)| FaultStep::Work {
            model,
            server,
            in_flight,
        }),
        8 => servers.clone().prop_map(|server| FaultStep::Announce { server }),
        6 => (0_usize..2, any::<bool>()).prop_map(|(nth, lose_answer)| FaultStep::Deliver { nth, lose_answer }),
        1 => (0_usize..2).prop_map(|nth| FaultStep::LoseOrder { nth }),
        1 => Just(FaultStep::SendFrozenOrder),
        1 => servers.prop_map(|server| FaultStep::RestartServer { server }),
        1 => Just(FaultStep::ChangeLeader),
        1 => Just(FaultStep::EndEarlierLeaders),
    ]
}

fn apply(fleet: &mut FleetModel, step: &FaultStep) {
    match *step {
        FaultStep::Wait { millis } => fleet.now += time::Duration::from_millis(millis),
        FaultStep::Tick => fleet.step(engine::PlacementEvent::Tick),
        FaultStep::Demand { model, waiting } => {
            fleet.report_waiting(&artifact(MODELS[model]), waiting);
        }
        FaultStep::Work {
            model,
            server,
            in_flight,
        } => fleet.report_work(SERVERS[server], &artifact(MODELS[model]), in_flight),
        FaultStep::Announce { server } => fleet.announce(SERVERS[server]),
        FaultStep::Deliver { nth, lose_answer } => fleet.deliver(nth, lose_answer),
        FaultStep::LoseOrder { nth } => fleet.lose_order(nth),
        FaultStep::SendFrozenOrder => fleet.send_frozen_order(),
        FaultStep::RestartServer { server } => fleet.restart_server(SERVERS[server]),
        FaultStep::ChangeLeader => fleet.change_leader(time::Duration::from_secs(3)),
        FaultStep::EndEarlierLeaders => fleet.end_earlier_leaders(),
    }
}

fn fleet(checks_fencing: bool) -> FleetModel {
    let models = MODELS.iter().map(|name| model(name, 40, &[])).collect();
    let mut fleet = FleetModel::new(models);
    for server in SERVERS {
        fleet = fleet.with_server(server, 100, checks_fencing);
    }
    fleet
}

fn recover(fleet: &mut FleetModel) {
    fleet.end_earlier_leaders();
    while !fleet.orders.is_empty() {
        fleet.deliver(0, false);
    }
    for name in MODELS {
        for server in SERVERS {
            fleet.report_work(server, &artifact(name), 0);
        }
        fleet.report_waiting(&artifact(name), 1);
    }
    fleet.run(time::Duration::from_mins(1));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn nothing_loads_undecided_and_memory_is_never_overcommitted_under_faults(
        checks_fencing in any::<bool>(),
        steps in prop::collection::vec(any_step(), 1..300),
    ) {
        let mut fleet = fleet(checks_fencing);
        for step in &steps {
            apply(&mut fleet, step);
            prop_assert_eq!(&fleet.violations, &Vec::<String>::new());
        }
        recover(&mut fleet);
        prop_assert_eq!(&fleet.violations, &Vec::<String>::new());
        for name in MODELS {
            prop_assert_eq!(fleet.loaded_on(&artifact(name)).len(), 1, "{}", name);
        }
    }
}
