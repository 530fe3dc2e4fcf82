//! Order and selection of the addresses in a broadcast.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hickorycourse_relay::{MemberRecord, MemberTable};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn fleet(count: u16) -> MemberTable {
    let mut members = MemberTable::default();
    for number in 0..count {
        let record = MemberRecord {
            peer_address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
            availability_zone: format!("zone-{}", number % 4),
            boot: 1,
            writes_versions: true,
        };
        members.apply_record(&format!("relay-{number:03}"), &record, 0);
    }
    members
}

#[test]
fn shuffled_addresses_last_one_varies() {
    // Guards against a fixed order: a link with a full queue drops the end of a burst, which would
    // be the same instances each time.
    let members = fleet(90);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let draws: Vec<Vec<SocketAddr>> =
        (0..200).map(|_| members.shuffled_addresses(None, &mut random, 0)).collect();
    let last: BTreeSet<&SocketAddr> = draws.iter().filter_map(|draw| draw.last()).collect();
    assert!(last.len() > 45, "{} of 90 were last", last.len());
    let all: BTreeSet<SocketAddr> = draws[0].iter().copied().collect();
    for draw in &draws {
        assert_eq!(draw.iter().copied().collect::<BTreeSet<SocketAddr>>(), all);
        assert_eq!(draw.len(), 90);
    }
}

#[test]
fn shuffled_addresses_of_one_zone_excludes_others() {
    let members = fleet(90);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let zone = members.shuffled_addresses(Some("zone-1"), &mut random, 0);
    assert_eq!(zone.len(), 23);
    assert!(zone.iter().all(|address| address.port() % 4 == 1));
}
