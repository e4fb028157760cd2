//! The deployment files match the users' sizes.

use std::path;

use galenahold_testkit::deployment;

fn read(name: &str) -> deployment::FleetDeployment {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../deployments");
    let file = path::Path::new(folder).join(name);
    deployment::FleetDeployment::read(&file).expect("a deployment")
}

#[test]
fn pamoja_has_its_sizes_of_today() {
    let pamoja = read("pamoja.json");
    assert_eq!(pamoja.data_centres.len(), 3);
    assert_eq!((pamoja.models.len(), pamoja.adapter_count()), (50, 60));
    assert_eq!(pamoja.engines.count, 10);
    assert_eq!(pamoja.services[0].count, 3);
    assert_eq!(pamoja.teams.len(), 5);
}

#[test]
fn prydderch_has_its_sizes_of_today() {
    let prydderch = read("prydderch.json");
    assert_eq!(prydderch.data_centres.len(), 4);
    assert_eq!(
        (prydderch.models.len(), prydderch.adapter_count()),
        (65, 80)
    );
    assert_eq!(prydderch.engines.count, 12);
    assert_eq!(prydderch.services[0].count, 4);
    assert_eq!(prydderch.teams.len(), 5);
}

#[test]
fn stand_ins_start_with_models_within_their_memory() {
    let pamoja = read("pamoja.json");
    let fleet = deployment::StandInFleet::start(&pamoja, &[], true).expect("a fleet");
    assert_eq!(fleet.engines().len(), 10);
    assert_eq!(fleet.services().len(), 3);
    for engine in fleet.engines() {
        assert!(!engine.loaded().is_empty());
        assert_eq!(engine.ledger().overcommitted_bytes(), 0);
    }
}

#[test]
fn mean_load_lets_the_store_reach_its_starts_a_second() {
    for name in ["pamoja.json", "prydderch.json"] {
        let read = read(name);
        let bytes: u64 = read.models.iter().map(|model| model.bytes).sum();
        let mean_ms = 1_000 * bytes / read.models.len() as u64 / read.store.bytes_per_second;
        // So many loads are in flight at full speed while the store starts as many as it may.
        let loads = f64::from(u32::try_from(read.store.full_speed_loads).expect("few loads"));
        let allowed_ms = 1_000.0 * loads / read.store.starts_per_second;
        let share = f64::from(u32::try_from(mean_ms).expect("a short time")) / allowed_ms;
        assert!((0.8..1.2).contains(&share), "{name}: {share}");
    }
}
