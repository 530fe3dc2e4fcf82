//! Replies that are too large for a datagram.

use std::net::SocketAddr;

use hickorycourse_digest::PartMark;
use hickorycourse_relay::{ChunkBuffer, divide_reply};
use hickorycourse_routes::{UpstreamEntry, UpstreamPhase};
use proptest::prelude::*;

/// Largest UDP payload over IPv4, without the other fields of the message.
const MAX_BYTES: usize = 65_000;

#[test]
fn chunk_buffer_refuses_odd_marks() {
    let mut buffer = ChunkBuffer::default();
    for part in [(0, 0), (1, 1), (7, 3), (0, u16::MAX)] {
        let part = PartMark { index: part.0, count: part.1 };
        assert_eq!(buffer.add(1, part, vec![0; 10]), None, "{part:?}");
    }
    assert_eq!(buffer.add(1, PartMark { index: 0, count: 2 }, vec![1]), None);
    buffer.retain(|reply| reply != 1);
    assert_eq!(buffer.add(1, PartMark { index: 1, count: 2 }, vec![2]), None);
    assert_eq!(buffer.add(1, PartMark { index: 0, count: 2 }, vec![1]), Some(vec![1, 2]));
}

// Guards against a list of upstreams that no instance without the store ever gets, as it does not fit a
// datagram.
#[test]
fn upstreams_of_large_site_divided_and_joined() {
    for count in [250, 2_000_u32] {
        let entry = |number: u32| UpstreamEntry {
            id: format!("i-{:010x}", number * 7_919),
            service: format!("service-{}", number % 5),
            address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
            availability_zone: format!("brazos-{}", number % 6),
            slots: 8,
            phase: UpstreamPhase::Ready,
            warm_up_left_ms: 0,
            is_reclaimable: false,
            started_at_ms: Some(1_700_000_000_000),
            sequence: 12,
            version: Some("v1.2.0".to_owned()),
        };
        let entries: Vec<UpstreamEntry> = (0..count).map(entry).collect();
        let mut bytes = Vec::new();
        ciborium::into_writer(&entries, &mut bytes).expect("they are encoded");
        println!("{count} upstreams: {} bytes", bytes.len());
        let mut buffer = ChunkBuffer::default();
        let chunks: Vec<_> = divide_reply(&bytes, MAX_BYTES).collect();
        assert!(chunks.iter().all(|(_, chunk)| chunk.len() <= MAX_BYTES));
        let joined = chunks.into_iter().rev();
        let joined = joined.filter_map(|(part, chunk)| buffer.add(0, part, chunk.to_vec()));
        assert_eq!(joined.collect::<Vec<_>>(), [bytes]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    // Chunks of several replies in any order, some of them twice or lost: a reply is complete or absent.
    #[test]
    fn complete_replies_are_as_sent(
        sizes in proptest::collection::vec(1_usize..3_000, 1..4),
        max_bytes in 60_usize..700,
        keys in proptest::collection::vec((any::<u32>(), 0_u8..8), 256),
    ) {
        let replies: Vec<Vec<u8>> = sizes.iter().enumerate()
            .map(|(reply, size)| (0..*size).map(|byte| (byte * 7 + reply) as u8).collect())
            .collect();
        let mut chunks = Vec::new();
        let mut lost = vec![false; replies.len()];
        for (reply, bytes) in replies.iter().enumerate() {
            for (part, chunk) in divide_reply(bytes, max_bytes) {
                prop_assert!(chunk.len() <= max_bytes);
                let (key, fate) = keys[chunks.len() % keys.len()];
                match fate {
                    0 => lost[reply] = true,
                    1 => chunks.push((key.rotate_left(9), reply, part, chunk.to_vec())),
                    _ => {}
                }
                if fate > 0 {
                    chunks.push((key, reply, part, chunk.to_vec()));
                }
            }
        }
        chunks.sort();
        let mut buffer = ChunkBuffer::default();
        let mut complete = vec![false; replies.len()];
        for (_, reply, part, chunk) in chunks {
            if let Some(bytes) = buffer.add(reply, part, chunk) {
                prop_assert_eq!(&bytes, &replies[reply]);
                complete[reply] = true;
            }
        }
        for (complete, lost) in complete.into_iter().zip(lost) {
            prop_assert_eq!(complete, !lost);
        }
    }
}
