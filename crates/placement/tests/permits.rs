//! Placement at upstreams that have named a rate limit.

use hickorycourse_placement::{
    AdmitAll, ExpectedWait, PlacementOptions, PlacementRequest, PlacementTable, PromptPart,
};
use hickorycourse_routes::UpstreamEntry;

const REQUEST: PlacementRequest<'_> = PlacementRequest {
    parts: &[],
    prompt_tokens: 0,
    urgency: 1,
    seed: 0,
    excluded: &[],
    version: None,
    streamed: None,
};

fn table(count: usize) -> PlacementTable {
    let entries: Vec<UpstreamEntry> = (0..count)
        .map(|id| {
            let address = format!("127.0.0.1:{}", 9_000 + id).parse().expect("an address");
            UpstreamEntry::ready(&format!("i-{id}"), "desk", address, "east", 4)
        })
        .collect();
    let options = PlacementOptions::default();
    let mut table =
        PlacementTable::new("east", options, Box::new(ExpectedWait), Box::new(AdmitAll));
    table.set_upstreams(entries.iter());
    table
}

fn chosen(table: &PlacementTable, now_ms: u64) -> Option<String> {
    table.choose(&REQUEST, now_ms).map(|placement| placement.upstream)
}

#[test]
fn choose_limited_without_permit_takes_others() {
    let mut table = table(2);
    table.set_limit("i-0", Some((1.0, 0)));
    for _ in 0..50 {
        let placement = table.choose(&REQUEST, 0).expect("an upstream");
        assert_eq!(placement.upstream, "i-1");
        table.begin_attempt(&placement, &REQUEST, 0);
    }
}

#[test]
fn choose_all_limited_returns_none() {
    let mut table = table(2);
    table.set_limit("i-0", Some((1.0, 0)));
    table.set_limit("i-1", Some((1.0, 0)));
    assert_eq!(chosen(&table, 0), None);
    assert!(table.find_limited(&REQUEST, 0).is_some());
    assert_eq!(table.count_limited(), 2);
}

#[test]
fn limit_ended_upstream_is_chosen_again() {
    let mut table = table(1);
    table.set_limit("i-0", Some((0.0, 0)));
    assert_eq!(chosen(&table, 0), None);
    table.set_limit("i-0", None);
    assert!(chosen(&table, 0).is_some());
}

#[test]
fn returned_permit_serves_one_request_until_it_expires() {
    let mut table = table(1);
    table.set_limit("i-0", Some((1.0, 0)));
    table.return_permit("i-0", 200);
    assert_eq!(chosen(&table, 200), None);
    let mut placement = table.choose(&REQUEST, 100).expect("the permit is left");
    table.take_permit(&mut placement, 100);
    assert_eq!(placement.permit_until_ms, Some(200));
    assert_eq!(chosen(&table, 100), None);
}

#[test]
fn placed_permit_is_taken_by_one_of_two_requests() {
    let mut table = table(1);
    table.set_limit("i-0", Some((1.0, 0)));
    table.return_permit("i-0", 200);
    // Both are chosen before either takes the permit.
    let mut placements = [(); 2].map(|()| table.choose(&REQUEST, 0).expect("the permit is left"));
    for placement in &mut placements {
        table.take_permit(placement, 0);
    }
    let open = placements.iter().filter(|placement| table.is_open(placement, 0)).count();
    assert_eq!(open, 1);
}

#[test]
fn limit_named_after_choice_closes_placement() {
    let mut table = table(1);
    let placement = table.choose(&REQUEST, 0).expect("an upstream");
    table.set_limit("i-0", Some((1.0, 0)));
    assert!(!table.is_open(&placement, 0));
    let permitted = table.place_permitted(&REQUEST, "i-0", 250, 0).expect("the permit is valid");
    assert!(table.is_open(&permitted, 249));
    assert!(!table.is_open(&permitted, 250));
    assert_eq!(table.place_permitted(&REQUEST, "i-0", 250, 250), None);
}

#[test]
fn denied_upstream_is_claimed_again_after_pause() {
    let mut table = table(2);
    table.set_limit("i-0", Some((1.0, 0)));
    table.set_limit("i-1", Some((1.0, 0)));
    table.record_permit_denied("i-0", 900, 700, 0);
    table.record_permit_denied("i-1", 300, 100, 0);
    assert_eq!(table.find_limited(&REQUEST, 99), None);
    let limited = table.find_limited(&REQUEST, 100).expect("the pause is over");
    assert_eq!(limited.upstream, "i-1");
}

#[test]
fn limit_not_heard_of_for_long_is_refreshed() {
    let mut table = table(2);
    table.set_limit("i-0", Some((0.5, 1_000)));
    assert_eq!(table.find_stale_limit(&REQUEST, 3_900), None);
    assert!(table.find_stale_limit(&REQUEST, 4_100).is_some());
    table.set_limit("i-0", Some((0.5, 4_000)));
    assert_eq!(table.find_stale_limit(&REQUEST, 4_100), None);
}

#[test]
fn refused_callers_return_one_after_the_other() {
    let mut table = table(2);
    table.set_limit("i-0", Some((2.0, 0)));
    table.set_limit("i-1", Some((2.0, 0)));
    let delays: Vec<u64> = (0..5)
        .map(|_| table.reserve_permit_retry(&REQUEST, 60_000, 0).expect("there are limits"))
        .collect();
    assert_eq!(delays, [200, 450, 700, 950, 1_200]);
}

#[test]
fn affinity_of_limited_upstream_moves() {
    let mut table = table(4);
    let parts = [PromptPart { hash: 7, tokens: 5_000 }, PromptPart { hash: 8, tokens: 100 }];
    let request = PlacementRequest { parts: &parts, prompt_tokens: 5_100, ..REQUEST };
    let before = table.choose(&request, 0).expect("an upstream").upstream;
    table.set_limit(&before, Some((1.0, 0)));
    table.return_permit(&before, 10_000);
    let after = table.choose(&request, 0).expect("an upstream").upstream;
    assert_ne!(before, after);
}
