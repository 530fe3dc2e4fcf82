//! Division of digests that are too large for a datagram.
//!
//! Load pattern: hundreds of upstreams and tens of organisations in each of several availability zones,
//! all of which change at once. What was told whole was not told at all then. Each part is a digest with
//! a part of the contents. A receiver joins the parts and uses nothing of a digest of which one is
//! missing: an absent upstream or organisation would look unused. What it knew before keeps its age.

use std::collections::BTreeMap;
use std::io::{Error, Write};

use hickorycourse_caps::EpochUsage;
use hickorycourse_duties::WindowCounts;
use hickorycourse_permits::LimitNotice;
use hickorycourse_quarantine::QuarantineDigest;
use serde::{Deserialize, Serialize};

use crate::message::{LoadCounts, MemberDigest, ServiceDigest, ZoneDigest};

/// Space for the mark of a part, and for the names and lengths of fields that are empty in the header.
const FIELDS_BYTES: usize = 160;
/// Longest encoding of a length.
const LENGTH_BYTES: usize = 9;
/// Senders whose parts are kept.
const MAX_SENDERS: usize = 512;
/// Parts of one digest that are kept.
const MAX_PARTS: u16 = 256;

/// The error of an encoder.
pub type EncodeError = ciborium::ser::Error<Error>;

/// Position of a part in its digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartMark {
    /// Index of the part.
    #[serde(rename = "i")]
    pub index: u16,
    /// Number of parts.
    #[serde(rename = "n")]
    pub count: u16,
}

impl PartMark {
    /// Returns whether the part is the whole digest.
    pub fn is_whole(&self) -> bool {
        self.count <= 1
    }
}

impl Default for PartMark {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

/// The contents of a digest that grow with the site.
#[derive(Debug, Default)]
pub struct Contents {
    cap_usage: BTreeMap<String, Vec<EpochUsage>>,
    windows: Vec<WindowCounts>,
    services: BTreeMap<String, ServiceDigest>,
    departures: Vec<(String, Option<u64>)>,
    committed_usage: Vec<WindowCounts>,
    quarantine: QuarantineDigest,
    limits: Vec<LimitNotice>,
    tolerances: Vec<LimitNotice>,
}

impl Contents {
    /// Adds the contents of the next part.
    fn append(&mut self, mut next: Self) {
        self.cap_usage.append(&mut next.cap_usage);
        self.windows.append(&mut next.windows);
        for (service, mut digest) in next.services {
            match self.services.get_mut(&service) {
                Some(known) => known.loads.append(&mut digest.loads),
                None => {
                    self.services.insert(service, digest);
                }
            }
        }
        self.departures.append(&mut next.departures);
        self.committed_usage.append(&mut next.committed_usage);
        if self.quarantine.is_empty() {
            self.quarantine = next.quarantine;
        }
        self.limits.append(&mut next.limits);
        self.tolerances.append(&mut next.tolerances);
    }
}

/// A digest that can be divided.
pub trait Divisible: Clone + Serialize {
    /// Returns the name of the sender, its start and the sequence number.
    fn id(&self) -> (&str, u64, u64);
    /// Returns the position of this part.
    fn part(&self) -> PartMark;
    /// Sets the position of this part.
    fn set_part(&mut self, part: PartMark);
    /// Takes the contents out.
    fn take_contents(&mut self) -> Contents;
    /// Replaces the contents.
    fn set_contents(&mut self, contents: Contents);
}

macro_rules! impl_divisible {
    ($digest:ty, $sender:ident) => {
        impl Divisible for $digest {
            fn id(&self) -> (&str, u64, u64) {
                (&self.$sender, self.boot, self.sequence)
            }

            fn part(&self) -> PartMark {
                self.part
            }

            fn set_part(&mut self, part: PartMark) {
                self.part = part;
            }

            fn take_contents(&mut self) -> Contents {
                Contents {
                    cap_usage: std::mem::take(&mut self.cap_usage),
                    windows: std::mem::take(&mut self.windows),
                    services: std::mem::take(&mut self.services),
                    departures: std::mem::take(&mut self.departures),
                    committed_usage: std::mem::take(&mut self.committed_usage),
                    quarantine: std::mem::take(&mut self.quarantine),
                    limits: std::mem::take(&mut self.limits),
                    tolerances: std::mem::take(&mut self.tolerances),
                }
            }

            fn set_contents(&mut self, contents: Contents) {
                self.cap_usage = contents.cap_usage;
                self.windows = contents.windows;
                self.services = contents.services;
                self.departures = contents.departures;
                self.committed_usage = contents.committed_usage;
                self.quarantine = contents.quarantine;
                self.limits = contents.limits;
                self.tolerances = contents.tolerances;
            }
        }
    };
}

impl_divisible!(MemberDigest, instance);
impl_divisible!(ZoneDigest, aggregator);

/// Distributes contents over parts in their order.
struct Packer {
    full: Vec<Contents>,
    current: Contents,
    bytes: usize,
    max_bytes: usize,
}

impl Packer {
    /// Reserves space in the present part, or in a new one.
    fn reserve(&mut self, bytes: usize) -> &mut Contents {
        if self.bytes > 0 && self.bytes + bytes > self.max_bytes {
            self.full.push(std::mem::take(&mut self.current));
            self.bytes = 0;
        }
        self.bytes += bytes;
        &mut self.current
    }

    /// Adds the loads of a service, with its totals in each part.
    fn add_loads(&mut self, service: &str, totals: &ServiceDigest, loads: Vec<LoadCounts>) {
        let totals_bytes = encoded_bytes(&(service, totals)) + LENGTH_BYTES;
        for load in loads {
            let bytes = encoded_bytes(&load);
            let is_open =
                self.current.services.contains_key(service) && self.bytes + bytes <= self.max_bytes;
            let current = self.reserve(if is_open { bytes } else { bytes + totals_bytes });
            let digest = current.services.entry(service.to_owned());
            digest.or_insert_with(|| totals.clone()).loads.push(load);
        }
    }

    fn add(&mut self, contents: Contents) {
        for (organisation, usage) in contents.cap_usage {
            let bytes = encoded_bytes(&(&organisation, &usage));
            self.reserve(bytes).cap_usage.insert(organisation, usage);
        }
        for (service, mut digest) in contents.services {
            let loads = std::mem::take(&mut digest.loads);
            if loads.is_empty() {
                let bytes = encoded_bytes(&(&service, &digest));
                self.reserve(bytes).services.insert(service, digest);
                continue;
            }
            self.add_loads(&service, &digest, loads);
        }
        if !contents.quarantine.is_empty() {
            let bytes = encoded_bytes(&contents.quarantine);
            self.reserve(bytes).quarantine = contents.quarantine;
        }
        for departure in contents.departures {
            self.reserve(encoded_bytes(&departure)).departures.push(departure);
        }
        for window in contents.windows {
            self.reserve(encoded_bytes(&window)).windows.push(window);
        }
        for window in contents.committed_usage {
            self.reserve(encoded_bytes(&window)).committed_usage.push(window);
        }
        for limit in contents.limits {
            self.reserve(encoded_bytes(&limit)).limits.push(limit);
        }
        for limit in contents.tolerances {
            self.reserve(encoded_bytes(&limit)).tolerances.push(limit);
        }
    }
}

/// Counts the bytes that are written to it.
#[derive(Default)]
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize, Error> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<(), Error> {
        Ok(())
    }
}

/// Returns the encoded size; 0 of a value that can't be encoded, which fails when it is sent.
fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter::default();
    match ciborium::into_writer(value, &mut counter) {
        Ok(()) => counter.0,
        Err(_) => 0,
    }
}

/// Divides a digest into parts of at most `max_bytes` encoded bytes; one that is small enough is returned
/// as it is. A single entry is never divided.
pub fn split<T: Divisible>(digest: T, max_bytes: usize) -> Vec<T> {
    match encoded_bytes(&digest) > max_bytes {
        true => split_large(digest, max_bytes),
        false => vec![digest],
    }
}

fn split_large<T: Divisible>(mut digest: T, max_bytes: usize) -> Vec<T> {
    let contents = digest.take_contents();
    let header_bytes = encoded_bytes(&digest) + FIELDS_BYTES;
    let mut packer = Packer {
        full: Vec::new(),
        current: Contents::default(),
        bytes: 0,
        max_bytes: max_bytes.saturating_sub(header_bytes),
    };
    packer.add(contents);
    let mut contents = packer.full;
    contents.push(packer.current);
    let count = u16::try_from(contents.len()).unwrap_or(u16::MAX);
    let parts = (0..).zip(contents).map(|(index, contents)| {
        let mut part = digest.clone();
        part.set_part(PartMark { index, count });
        part.set_contents(contents);
        part
    });
    parts.collect()
}

/// Joins the parts of one digest; `None` if one is missing.
fn join<T: Divisible>(mut parts: Vec<T>) -> Option<T> {
    parts.sort_by_key(|part| part.part().index);
    let count = parts.first()?.part().count;
    let is_complete = parts.len() == usize::from(count.max(1))
        && (0..).zip(&parts).all(|(index, part)| part.part() == PartMark { index, count });
    if !is_complete {
        return None;
    }
    let mut parts = parts.into_iter();
    let mut joined = parts.next()?;
    let mut contents = joined.take_contents();
    for mut part in parts {
        contents.append(part.take_contents());
    }
    joined.set_contents(contents);
    joined.set_part(PartMark::default());
    Some(joined)
}

/// Encodes the digests of zones as lists of at most `max_bytes` each, in their order. A digest that is
/// too large for one list is divided.
///
/// # Errors
/// A digest can't be encoded.
pub fn encode_zones(zones: Vec<ZoneDigest>, max_bytes: usize) -> Result<Vec<Vec<u8>>, EncodeError> {
    let max_digest_bytes = max_bytes.saturating_sub(LENGTH_BYTES);
    let mut lists: Vec<(usize, Vec<u8>)> = Vec::new();
    let mut add = |bytes: Vec<u8>| match lists.last_mut() {
        Some((count, list)) if list.len() + bytes.len() <= max_digest_bytes => {
            *count += 1;
            list.extend_from_slice(&bytes);
        }
        _ => lists.push((1, bytes)),
    };
    for zone in zones {
        let mut bytes = Vec::new();
        ciborium::into_writer(&zone, &mut bytes)?;
        if bytes.len() <= max_digest_bytes {
            add(bytes);
            continue;
        }
        for part in split_large(zone, max_digest_bytes) {
            let mut bytes = Vec::new();
            ciborium::into_writer(&part, &mut bytes)?;
            add(bytes);
        }
    }
    Ok(lists.into_iter().map(|(count, list)| encode_list(count, &list)).collect())
}

/// Encodes a list of items that are encoded already (RFC 8949, 3.1: an array of `count` items).
fn encode_list(count: usize, items: &[u8]) -> Vec<u8> {
    const ARRAY_OF_U64_LENGTH: u8 = 0x9b;
    let mut bytes = Vec::with_capacity(items.len() + LENGTH_BYTES);
    bytes.push(ARRAY_OF_U64_LENGTH);
    bytes.extend_from_slice(&(count as u64).to_be_bytes());
    bytes.extend_from_slice(items);
    bytes
}

/// Joins the digests of zones that have arrived in several lists. A digest without one of its parts is
/// left out.
pub fn join_zones(parts: Vec<ZoneDigest>) -> Vec<ZoneDigest> {
    let mut digests: BTreeMap<(String, String, u64, u64), Vec<ZoneDigest>> = BTreeMap::new();
    for part in parts {
        let zone = part.availability_zone.clone();
        let id = (zone, part.aggregator.clone(), part.boot, part.sequence);
        let known = digests.entry(id).or_default();
        if known.iter().all(|known| known.part.index != part.part.index) {
            known.push(part);
        }
    }
    digests.into_values().filter_map(join).collect()
}

/// The parts of an aggregator's reply that have arrived.
#[derive(Clone, Debug, Default)]
pub struct FleetParts {
    indexes: Vec<u16>,
    age_ms: u64,
    zones: Vec<ZoneDigest>,
}

impl FleetParts {
    /// Adds a part: digests that were encoded `age_ms` ago. Returns whether it was the last one that was
    /// missing.
    pub fn add(&mut self, part: PartMark, age_ms: u64, zones: Vec<ZoneDigest>) -> bool {
        if !self.indexes.contains(&part.index) {
            self.indexes.push(part.index);
            self.age_ms = self.age_ms.max(age_ms);
            self.zones.extend(zones);
        }
        self.indexes.len() >= usize::from(part.count)
    }

    /// Returns whether no part has arrived.
    pub fn is_empty(&self) -> bool {
        self.indexes.is_empty()
    }

    /// Returns the digests that have arrived whole and the time since they were encoded; `None` if no
    /// part has arrived.
    pub fn into_zones(self) -> Option<(Vec<ZoneDigest>, u64)> {
        (!self.indexes.is_empty()).then(|| (join_zones(self.zones), self.age_ms))
    }
}

/// Parts that have arrived in several datagrams, by sender.
#[derive(Clone, Debug)]
pub struct PartBuffer<T> {
    senders: BTreeMap<String, Vec<T>>,
}

impl<T> Default for PartBuffer<T> {
    fn default() -> Self {
        Self { senders: BTreeMap::new() }
    }
}

impl<T: Divisible> PartBuffer<T> {
    /// Adds a part; returns the digest when it is complete. Parts of an older digest are discarded.
    pub fn add(&mut self, part: T) -> Option<T> {
        let mark = part.part();
        if mark.is_whole() {
            return Some(part);
        }
        if mark.count > MAX_PARTS {
            return None;
        }
        let (sender, boot, sequence) = part.id();
        let sender = sender.to_owned();
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            self.senders.pop_first();
        }
        let known = self.senders.entry(sender.clone()).or_default();
        if let Some(first) = known.first() {
            let (_, known_boot, known_sequence) = first.id();
            let is_same_start = known_boot == boot;
            if is_same_start && sequence < known_sequence {
                return None;
            }
            if !is_same_start || sequence > known_sequence || first.part().count != mark.count {
                known.clear();
            }
        }
        if known.iter().any(|known| known.part().index == mark.index) {
            return None;
        }
        known.push(part);
        if known.len() < usize::from(mark.count) {
            return None;
        }
        self.senders.remove(&sender).and_then(join)
    }
}
