//! Choice of the instances that decide on caps, and their grants to others.

use std::net::SocketAddr;

use hickorycourse_caps::{Decider, DeciderTable, GrantLedger, GrantedUnits};

const ORGANISATIONS: usize = 40;

fn address() -> SocketAddr {
    "127.0.0.1:7000".parse().expect("an address")
}

fn announced(zone: usize) -> Vec<(String, SocketAddr)> {
    (0..4).map(|number| (format!("relay-{zone}-{number}"), address())).collect()
}

/// A table that has heard of six zones.
fn table(heard_at_ms: u64) -> DeciderTable {
    let mut table = DeciderTable::default();
    for zone in 0..6 {
        table.record(&format!("zone-{zone}"), announced(zone), heard_at_ms);
    }
    table
}

fn choices(table: &DeciderTable, now_ms: u64) -> Vec<Decider> {
    let names = (0..ORGANISATIONS).map(|number| format!("dealer-{number}"));
    names.map(|name| table.choose(&name, "relay-0-0", &[], now_ms)).collect()
}

fn name(decider: &Decider) -> &str {
    match decider {
        Decider::Other { name, .. } => name,
        Decider::Own => "relay-0-0",
        Decider::Nobody | Decider::Unheard => "",
    }
}

#[test]
fn choose_nobody_heard_is_nobody() {
    let table = DeciderTable::default();
    assert_eq!(table.choose("dealer", "relay-0-0", &[], 0), Decider::Unheard);
    assert_eq!(table.choose("dealer", "relay-0-0", &[], 5_000), Decider::Nobody);
}

#[test]
fn choose_spreads_organisations_over_zones() {
    let choices = choices(&table(0), 0);
    for zone in 0..6 {
        let of_zone = |choice: &&Decider| name(choice).starts_with(&format!("relay-{zone}-"));
        let count = choices.iter().filter(of_zone).count();
        assert!((1..=16).contains(&count), "zone {zone}: {count}");
    }
}

#[test]
fn choose_loss_of_decider_moves_only_its_organisations() {
    let mut table = table(0);
    let before = choices(&table, 0);
    let lost = name(&before[0]).to_owned();
    table.record_reply(&lost, false, 100);
    assert_eq!(choices(&table, 100), before, "a single datagram may be lost");
    table.record_reply(&lost, false, 200);
    for (before, after) in before.iter().zip(choices(&table, 200)) {
        assert_ne!(name(&after), lost);
        if name(before) != lost {
            assert_eq!(*before, after);
        }
    }
    table.record_reply(&lost, true, 300);
    assert_eq!(choices(&table, 300), before);
}

// Load pattern: a zone is cut off; those outside stop asking its instances.
#[test]
fn choose_silent_zone_is_not_asked() {
    let mut table = table(0);
    for zone in 1..6 {
        table.record(&format!("zone-{zone}"), announced(zone), 7_000);
    }
    assert!(choices(&table, 7_000).iter().all(|choice| !name(choice).starts_with("relay-0-")));
    table.expire(7_000);
    assert!(choices(&table, 7_000).iter().all(|choice| *choice != Decider::Nobody));
}

#[test]
fn record_older_announcement_has_no_effect() {
    let mut table = table(1_000);
    let before = choices(&table, 1_000);
    table.record("zone-3", vec![("relay-9".to_owned(), address())], 500);
    table.record("zone-4", Vec::new(), 1_500);
    assert_eq!(choices(&table, 1_500), before);
    table.remove("zone-4");
    assert!(choices(&table, 1_500).iter().all(|choice| !name(choice).starts_with("relay-4-")));
}

// Load pattern: a decider that was gone for long is asked again now and then; each try delays one request.
#[test]
fn choose_lost_decider_is_suspected_again_by_one_miss() {
    let mut table = table(0);
    let lost = name(&choices(&table, 0)[0]).to_owned();
    table.record_reply(&lost, false, 100);
    table.record_reply(&lost, false, 200);
    let before = table.choose("dealer-0", "relay-0-0", &[], 4_000);
    assert_eq!(name(&before), lost);
    table.record_reply(&lost, false, 4_000);
    assert_ne!(name(&table.choose("dealer-0", "relay-0-0", &[], 4_000)), lost);
}

#[test]
fn choose_asked_instance_is_left_out() {
    let table = table(0);
    let first = name(&choices(&table, 0)[0]).to_owned();
    let second = table.choose("dealer-0", "relay-0-0", std::slice::from_ref(&first), 0);
    assert_ne!(name(&second), first);
}

// Load pattern: the fleet goes over to other announcements; each instance hears its own one first.
#[test]
fn choose_after_clear_waits_for_others() {
    let mut table = table(0);
    table.clear(10_000);
    table.record("relay-0-0", vec![("relay-0-0".to_owned(), address())], 10_000);
    assert_eq!(table.choose("dealer", "relay-0-0", &[], 10_100), Decider::Unheard);
    table.record("relay-0-1", vec![("relay-0-1".to_owned(), address())], 10_400);
    assert_ne!(table.choose("dealer", "relay-0-0", &[], 10_400), Decider::Unheard);
}

#[test]
fn ledger_takes_back_each_grant_once() {
    let mut ledger = GrantLedger::default();
    let first = granted(3_000.0, 0);
    ledger.record(7, first.clone());
    assert!(ledger.is_granted(7));
    assert_eq!(ledger.take(7, 0), Some(first.clone()));
    assert_eq!(ledger.take(7, 0), None);
    assert!(ledger.is_returned(7));
    ledger.record(8, first);
    ledger.record(9, granted(1.0, 6_000));
    assert_eq!(ledger.take(8, 6_000), None, "too late");
}

#[test]
fn ledger_return_before_claim_is_remembered() {
    let mut ledger = GrantLedger::default();
    assert_eq!(ledger.take(7, 0), None);
    assert!(ledger.is_returned(7));
}

#[test]
fn ledger_is_bounded() {
    let mut ledger = GrantLedger::default();
    for claim in 0..20_000 {
        ledger.record(claim, granted(1.0, 0));
    }
    assert_eq!((0..20_000).filter(|claim| ledger.is_granted(*claim)).count(), 8_192);
}

fn granted(units: f64, granted_at_ms: u64) -> GrantedUnits {
    GrantedUnits { organisation: "dealer".to_owned(), units, granted_at_ms }
}
