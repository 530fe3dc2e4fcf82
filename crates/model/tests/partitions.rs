//! Fleets of which a part is cut off from all upstreams and asks peers to carry its requests.

use hickorycourse_model::{CutScope, PartitionPattern, PartitionReport, PeerPolicy, run_partition};

/// Least share of first tries served where instances are cut off, as the others serve all.
const LEAST_SHARE: f64 = 0.95;

fn play(instances: usize, scope: CutScope, policy: PeerPolicy) -> PartitionReport {
    let pattern = PartitionPattern { instances, per_second: 10.0, room: 64, scope };
    let report = run_partition(&pattern, policy, 1);
    println!("{}", report.format_line(&format!("{pattern:?} {policy:?}")));
    report
}

#[test]
fn run_partition_told_peers_served_in_fleets_of_each_size() {
    for instances in [6, 76, 295] {
        for scope in [CutScope::Share(0.1), CutScope::Share(0.4), CutScope::Zone] {
            let report = play(instances, scope, PeerPolicy::Told);
            assert!(report.served_share >= LEAST_SHARE, "{instances} {scope:?}: {report:?}");
        }
    }
}

// Peers of the own zone alone can't serve a zone that is cut off as a whole.
#[test]
fn run_partition_near_peers_of_cut_zone_refuse() {
    let report = play(295, CutScope::Zone, PeerPolicy::Near);
    assert!(report.served_share < LEAST_SHARE, "{report:?}");
}
