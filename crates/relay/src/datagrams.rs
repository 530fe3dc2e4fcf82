//! Datagrams between instances.

use hickorycourse_digest::{MemberDigest, PartMark, ZoneDigest};
use hickorycourse_origins::{StreamBeginning, StreamKey, StreamOrigin};
use hickorycourse_permits::LimitNotice;
use hickorycourse_routes::{RouteDocument, UpstreamEntry};
use serde::{Deserialize, Serialize};

use crate::cap_claims::{UnitClaim, UnitReply};
use crate::exchange::WantedReply;
use crate::follow::{ViewQuery, ViewReply};

/// Largest UDP payload over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Largest digest or list of digests in a message, with space for the message's other fields.
pub const MAX_DIGEST_BYTES: usize = MAX_DATAGRAM_BYTES - 512;

/// Response of an instance that reaches the store to one that does not.
#[derive(Debug, Deserialize, Serialize)]
pub struct FreshnessAttestation {
    /// Identifies the query.
    pub nonce: u64,
    /// The newest version that the sender knows.
    pub version: u64,
    /// Staleness bound: the version was the newest this many milliseconds before the response was
    /// sent.
    pub age_ms: u64,
    /// The document, if it is newer than the version in the query.
    pub document: Option<RouteDocument>,
    /// The upstreams that the sender knows.
    pub upstreams: Vec<UpstreamEntry>,
    /// Era of the store that attests; 0 from a build that knows none.
    #[serde(default)]
    pub store_era: u64,
}

/// A datagram.
#[derive(Debug, Deserialize, Serialize)]
pub enum Message {
    /// Digest of an instance in a small fleet.
    Digest(Box<MemberDigest>),
    /// Freshness query.
    Ask {
        /// Identifies the query.
        nonce: u64,
        /// The version that is known.
        version: Option<u64>,
    },
    /// Reply to a freshness query.
    Proof(Box<FreshnessAttestation>),
    /// Part of an encoded [`FreshnessAttestation`] that does not fit one datagram.
    ProofPart {
        /// Identifies the query.
        nonce: u64,
        /// Which part this is.
        part: PartMark,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Query of a follower.
    Follow {
        /// Identifies the query.
        nonce: u64,
        /// The query.
        query: ViewQuery,
    },
    /// As [`Self::Follow`], to an instance that is not expected to read the store. Builds without it drop it,
    /// and would read the store after a [`Self::Follow`].
    Search {
        /// Identifies the query.
        nonce: u64,
        /// The query.
        query: ViewQuery,
    },
    /// Reply to a follower.
    View {
        /// Identifies the query.
        nonce: u64,
        /// The reply.
        reply: Box<ViewReply>,
    },
    /// Digest of a member to an aggregator of its availability zone.
    Report {
        /// Identifies the report if a reply is expected.
        nonce: Option<u64>,
        /// What the member expects as a reply.
        wanted: WantedReply,
        /// The digest.
        digest: Box<MemberDigest>,
    },
    /// Reply of an aggregator, with the encoded digests of all availability zones.
    Fleet {
        /// Identifies the report.
        nonce: u64,
        /// Time since the digests were encoded.
        age_ms: u64,
        /// Which part of the reply this is. An older build sends one, and uses the first that arrives.
        #[serde(default, skip_serializing_if = "PartMark::is_whole")]
        part: PartMark,
        /// Encoded [`ZoneDigest`]s; empty if none were wanted.
        #[serde(with = "serde_bytes")]
        zones: Vec<u8>,
    },
    /// Digest of an availability zone to the aggregators of the others.
    Zone(Box<ZoneDigest>),
    /// What began a stream.
    Origin {
        /// Identifies the stream.
        key: StreamKey,
        /// What began it.
        origin: StreamOrigin,
    },
    /// Where a stream began whose origin is not known yet. Builds without it drop it.
    Beginning {
        /// Identifies the stream.
        key: StreamKey,
        /// Where it began.
        beginning: StreamBeginning,
    },
    /// Query for what began a stream.
    FindOrigin {
        /// Identifies the query.
        nonce: u64,
        /// Identifies the stream.
        key: StreamKey,
    },
    /// Reply to such a query.
    FoundOrigin {
        /// Identifies the query.
        nonce: u64,
        /// What began the stream, if it is known.
        origin: Option<StreamOrigin>,
        /// Where it began, if that alone is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        beginning: Option<StreamBeginning>,
    },
    /// Claim for a permit, to the instance that grants those of the upstream.
    Claim {
        /// Identifies the claim.
        nonce: u64,
        /// The claim.
        claim: PermitClaim,
    },
    /// Reply to a claim.
    Grant {
        /// Identifies the claim.
        nonce: u64,
        /// The reply.
        reply: PermitReply,
    },
    /// Claim for units of a cap, to the instance that decides on it.
    ClaimUnits {
        /// Identifies the claim.
        nonce: u64,
        /// The claim.
        claim: UnitClaim,
    },
    /// Reply to such a claim.
    GrantUnits {
        /// Identifies the claim.
        nonce: u64,
        /// The reply.
        reply: UnitReply,
    },
    /// Return of units that were granted and not used.
    ReturnUnits {
        /// Identifies the claim.
        nonce: u64,
    },
}

impl Message {
    /// Returns the name of the kind, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) => "digest",
            Self::Ask { .. } => "ask",
            Self::Proof(_) => "proof",
            Self::ProofPart { .. } => "proof_part",
            Self::Follow { .. } => "follow",
            Self::Search { .. } => "search",
            Self::View { .. } => "view",
            Self::Report { .. } => "report",
            Self::Fleet { .. } => "fleet",
            Self::Zone(_) => "zone",
            Self::Origin { .. } => "origin",
            Self::Beginning { .. } => "beginning",
            Self::FindOrigin { .. } => "find_origin",
            Self::FoundOrigin { .. } => "found_origin",
            Self::Claim { .. } => "claim",
            Self::Grant { .. } => "grant",
            Self::ClaimUnits { .. } => "claim_units",
            Self::GrantUnits { .. } => "grant_units",
            Self::ReturnUnits { .. } => "return_units",
        }
    }
}

/// Claim for a permit to send a request to an upstream that has named a limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitClaim {
    /// The limit, which the receiver may not know yet.
    #[serde(rename = "h")]
    pub limit: LimitNotice,
    /// Rank; 0 is the most urgent.
    #[serde(rename = "u")]
    pub urgency: u8,
    /// Hash of the organisation.
    #[serde(rename = "o")]
    pub organisation: u64,
    /// Longest time that the request can wait for its permit.
    #[serde(rename = "w")]
    pub max_wait_ms: u64,
}

/// Reply to a [`PermitClaim`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitReply {
    /// The request may be sent after this time.
    #[serde(rename = "g")]
    Granted {
        /// Time until the permit is valid.
        #[serde(rename = "w")]
        wait_ms: u64,
    },
    /// No permit is free in time.
    #[serde(rename = "d")]
    Denied {
        /// Time until the next permit is expected.
        #[serde(rename = "a")]
        available_in_ms: u64,
    },
    /// The receiver expects another instance to grant the permits of this upstream.
    #[serde(rename = "n")]
    NotIssuer,
}
