//! Contents of the messages. Serialized field names are short, as every instance receives them several
//! times a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hickorycourse_caps::EpochUsage;
use hickorycourse_duties::WindowCounts;
use hickorycourse_overload::WorkCounts;
use hickorycourse_permits::LimitNotice;
use hickorycourse_quarantine::QuarantineDigest;
use serde::{Deserialize, Serialize};

use crate::parts::PartMark;

/// State of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberDigest {
    /// Name of the instance.
    #[serde(rename = "n")]
    pub instance: String,
    /// Random identifier of its start.
    #[serde(rename = "b")]
    pub boot: u64,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub availability_zone: String,
    /// Address that receives its datagrams.
    #[serde(rename = "a")]
    pub peer_address: SocketAddr,
    /// Its wall-clock time.
    #[serde(rename = "t")]
    pub sender_wall_ms: u64,
    /// Its recent use of caps, by organisation.
    #[serde(rename = "f", default)]
    pub cap_usage: BTreeMap<String, Vec<EpochUsage>>,
    /// Its newest usage windows.
    #[serde(rename = "u")]
    pub windows: Vec<WindowCounts>,
    /// Load that it has placed, by service.
    #[serde(rename = "s")]
    pub services: BTreeMap<String, ServiceDigest>,
    /// Highest era of the store that it knows; 0 from a build that knows none.
    #[serde(rename = "e", default)]
    pub store_era: u64,
    /// Version of its active document.
    #[serde(rename = "v", default)]
    pub version: Option<u64>,
    /// Upstreams that have announced their departure in responses, with the times of their starts.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<(String, Option<u64>)>,
    /// Usage reports that were committed in the store, from the holder of the duties.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub committed_usage: Vec<WindowCounts>,
    /// Increases with each digest of a start; 0 from a build that does not number them.
    #[serde(rename = "q", default)]
    pub sequence: u64,
    /// What it knows of parts of prompts that crash upstreams.
    #[serde(rename = "p", default, skip_serializing_if = "QuarantineDigest::is_empty")]
    pub quarantine: QuarantineDigest,
    /// What it knows of the rate limits of upstreams.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitNotice>,
    /// What it knows of the requests a second that upstreams can turn away.
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub tolerances: Vec<LimitNotice>,
    /// Whether it is stopping, and grants no permits any more.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_stopping: bool,
    /// Whether it can decide on caps for others.
    #[serde(rename = "dc", default, skip_serializing_if = "std::ops::Not::not")]
    pub decides_caps: bool,
    /// Which part this is of a digest that is sent in several.
    #[serde(rename = "y", default, skip_serializing_if = "PartMark::is_whole")]
    pub part: PartMark,
}

/// Load that one instance or zone has placed on the upstreams of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceDigest {
    /// Prompt tokens per millisecond of arriving requests.
    #[serde(rename = "w")]
    pub arrived_tokens_per_ms: f64,
    /// Prompt tokens per millisecond of requests sent to upstreams, by rank.
    #[serde(rename = "r")]
    pub sent_tokens_per_ms: BTreeMap<u8, f64>,
    /// Load by upstream.
    #[serde(rename = "l")]
    pub loads: Vec<LoadCounts>,
    /// Observed speeds of some of the upstreams; the others may be in the next digests.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<SpeedCounts>,
    /// Work that arriving requests ask for, by rank and size; `None` where overload control is off, and from
    /// a build without it.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub work: Option<WorkCounts>,
}

/// Requests at one upstream: its id, requests in flight, those with a started response, and the queued
/// ones by rank. An array rather than a map to keep the message small, as there is one for each
/// upstream.
pub type LoadCounts = (String, u64, u64, Vec<WaitingCounts>);

/// Rank, queued requests and their prompt tokens.
pub type WaitingCounts = (u8, u64, u64);

/// Observed speed of one upstream: its id, the weight of the observations in hundredths, and the weighted sum of the
/// logarithms of the factors of the usual time, in hundredths.
pub type SpeedCounts = (String, u32, i32);

/// State of the instances of one availability zone, from one aggregator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneDigest {
    /// The availability zone.
    #[serde(rename = "z")]
    pub availability_zone: String,
    /// Name of the aggregator.
    #[serde(rename = "n")]
    pub aggregator: String,
    /// Random identifier of the aggregator's start. Sums of two aggregators, or of two starts, may
    /// differ by digests that only one of them has received.
    #[serde(rename = "b")]
    pub boot: u64,
    /// Address that receives the aggregator's datagrams; the digest may be forwarded by another instance.
    #[serde(rename = "a", default)]
    pub peer_address: Option<SocketAddr>,
    /// Increases with each digest of a start.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// The aggregator's wall-clock time.
    #[serde(rename = "t")]
    pub sender_wall_ms: u64,
    /// Time since the sums were made.
    #[serde(rename = "g")]
    pub age_ms: u64,
    /// Instances that have reported recently.
    #[serde(rename = "i")]
    pub instances: u64,
    /// Those instances, for the members of the zone.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberMark>,
    /// Recent use of caps, by organisation. Sums of different aggregators are comparable.
    #[serde(rename = "f", default)]
    pub cap_usage: BTreeMap<String, Vec<EpochUsage>>,
    /// The newest usage windows, for other aggregators and the holder of the duties.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub windows: Vec<WindowCounts>,
    /// Load by service.
    #[serde(rename = "s")]
    pub services: BTreeMap<String, ServiceDigest>,
    /// Highest era of the store that is known.
    #[serde(rename = "e")]
    pub store_era: u64,
    /// Version of the aggregator's active document.
    #[serde(rename = "v")]
    pub version: Option<u64>,
    /// Upstreams that have announced their departure in responses.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<(String, Option<u64>)>,
    /// Usage reports that were committed in the store.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub committed_usage: Vec<WindowCounts>,
    /// What the aggregator knows of parts of prompts that crash upstreams.
    #[serde(rename = "p", default, skip_serializing_if = "QuarantineDigest::is_empty")]
    pub quarantine: QuarantineDigest,
    /// What the aggregator knows of the rate limits of upstreams.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitNotice>,
    /// What the aggregator knows of the requests a second that upstreams can turn away.
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub tolerances: Vec<LimitNotice>,
    /// Instances of the zone that decide on caps, with the addresses that receive their datagrams.
    #[serde(rename = "dc", default, skip_serializing_if = "Vec::is_empty")]
    pub deciders: Vec<(String, SocketAddr)>,
    /// Which part this is of a digest that is sent in several.
    #[serde(rename = "y", default, skip_serializing_if = "PartMark::is_whole")]
    pub part: PartMark,
}

impl ZoneDigest {
    /// Creates a digest without sums.
    pub fn new(availability_zone: &str, aggregator: &str, boot: u64) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            aggregator: aggregator.to_owned(),
            boot,
            peer_address: None,
            sequence: 0,
            sender_wall_ms: 0,
            age_ms: 0,
            instances: 0,
            members: Vec::new(),
            cap_usage: BTreeMap::new(),
            windows: Vec::new(),
            services: BTreeMap::new(),
            store_era: 0,
            version: None,
            departures: Vec::new(),
            committed_usage: Vec::new(),
            quarantine: QuarantineDigest::default(),
            limits: Vec::new(),
            tolerances: Vec::new(),
            deciders: Vec::new(),
            part: PartMark::default(),
        }
    }
}

/// A member whose digest is part of a [`ZoneDigest`]: its name, the sequence number of that digest, and
/// the digest's age in milliseconds.
pub type MemberMark = (String, u64, u64);
