//! Choice of the instance that grants the permits of an upstream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the instance that grants the permits of a start of an upstream, by rendezvous hashing (Thaler
/// and Ravishankar, 1998): instances with the same view of the fleet choose the same one, and a change of
/// the fleet moves only the upstreams of the instances that joined or left.
pub fn choose_issuer<'a>(
    upstream: &str,
    started_at_ms: Option<u64>,
    instances: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(upstream.as_bytes(), started_at_ms.unwrap_or_default());
    instances.max_by_key(|instance| (xxh3_64_with_seed(instance.as_bytes(), seed), *instance))
}
