//! HTTP relay between callers and upstreams: language-model engines and other services.
//!
//! An instance is one relay process. It matches each request to a route and an organisation in the
//! operators' document, the fleet's configuration in the platform's key-value store. It then selects
//! an upstream, sends the request to it and forwards the response unchanged. An implementation of
//! the traits in [`adapter`] translates the platform's messages.
//!
//! Instances discover each other through the store, and broadcast state that changes too often for
//! the store in UDP datagrams. In each availability zone a few readers watch the store, and the other
//! instances follow them. One instance, the holder of a lease in the store, performs the duties
//! of the fleet: it reports usage and orders capacity.

pub mod adapter;
mod attempt;
mod broadcast;
mod buffered_response;
mod buffered_stream;
mod call;
mod caller;
mod cap_claims;
mod carried_witness;
mod chunks;
mod datagrams;
mod drain;
mod durations;
mod duty_tasks;
mod events;
mod exchange;
mod exchange_state;
mod follow;
mod forwarding;
mod freshness;
mod hedging;
mod in_flight;
mod late_replies;
mod limits;
mod liveness;
mod management;
mod members;
mod messages;
mod origin_records;
mod origins;
mod overload;
mod placing;
mod planning;
mod quarantine;
mod quarantine_record;
mod readers;
mod replies;
mod server;
mod settings;
mod start_proofs;
mod state;
mod store_watch;
mod stream;
mod stream_source;
mod successor;
mod tolerance;
mod tunnels;
mod unlisted_starts;
mod unread_responses;
mod upstream_reports;
mod version_check;
mod version_marks;
mod view_gate;
mod view_log;
mod view_search;
mod witness;

/// Formats that instances of other builds read and write, for tests.
#[doc(hidden)]
pub mod wire {
    pub use crate::datagrams::{FreshnessAttestation, Message, PermitClaim, PermitReply};
    pub use crate::exchange::WantedReply;
    pub use crate::follow::{ViewQuery, ViewReply};
    pub use crate::quarantine_record::QuarantineRecord;
}

/// Commonly used types.
pub mod prelude {
    pub use crate::adapter::{DutyClient, Protocol};
    pub use crate::{PlatformAdapter, RelaySettings, run};
}

pub use broadcast::digest_period_ms;
pub use chunks::{ChunkBuffer, divide as divide_reply};
pub use drain::{DrainEnd, DrainState, DrainTimings, RequestForecast};
pub use durations::DurationTable;
pub use events::EventTracker;
pub use exchange::{choose_asked, report_interval_ms};
pub use follow::{ViewQuery, ViewReply};
pub use late_replies::LateReplies;
pub use management::is_own_host;
pub use members::{MemberRecord, MemberTable};
pub use overload::calls_for_overload_control;
pub use readers::{FollowTimings, LastHeard, MAX_READERS_PER_ZONE, select_readers};
pub use server::{PlatformAdapter, run};
pub use settings::{
    AdmissionPolicy, Bounds, Duty, EventLogSettings, ExchangePolicy, OverloadPolicy,
    PlacementPolicy, PolicySettings, RelaySettings,
};
pub use version_check::VersionCheck;
pub use view_gate::ViewGate;
pub use view_log::{StoreChange, ViewChanges, ViewCursor, ViewGap, ViewLog, ViewPart};
pub use view_search::join_pieces;
