//! Orders whose start at the control group brought no answer.

use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::proxy;

use crate::order_fleet;
use crate::order_fleet::send_keyed;

#[test]
fn an_order_whose_start_is_lost_is_not_sent_and_a_repeat_runs_it_later() {
    let fleet = order_fleet::OrderFleet::start(1, harness::PeerRoute::Pairs);
    let links = fleet.serving.instances().links();
    // What the entry instance sends arrives; what it should hear does not.
    for voter in 0..3 {
        let ways = [links.link(Some(3), voter), links.link(None, voter)];
        for link in ways.into_iter().flatten() {
            link.set(proxy::LinkDirection::ToClient, proxy::LinkFault::cut());
        }
    }
    let limit = time::Duration::from_millis(1_500);
    let lost = send_keyed(&fleet.hasty_caller(3, limit), "unheard");
    assert_eq!(lost.verdict.as_deref(), Some("not-run"), "{}", lost.body);
    assert_eq!(fleet.serving.runs("unheard"), 0);
    links.heal();
    harness::wait_until("a repeat through another instance runs", || {
        send_keyed(&fleet.serving.caller(0), "unheard").status == 200
    });
    assert_eq!(fleet.serving.runs("unheard"), 1);
}
