//! Clients of the platform: key-value service, instance list, reclaim notices and cloud API.
//!
//! [`GatewayClient`] accesses the key-value service through the etcd v3 JSON gateway
//! (`/v3/kv/range`, `/v3/kv/txn`, `/v3/watch`, `/v3/lease/*`). [`FleetClient`] reads the instance
//! list and the reclaim notices and starts instances through the cloud API. The traits [`KeyValue`]
//! and [`Fleet`] are used as trait objects, so that other implementations can replace the clients.

mod era;
mod fleet;
mod gateway;
mod http_client;
mod key_value;
mod wire;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        Fleet, FleetClient, FleetInstance, GatewayClient, InstanceState, KeyValue, KeyValueRecord,
        Lease, LocalFuture, PlatformError, SwapOutcome, Watch, WatchEvent,
    };
}

pub use era::{EraTracker, combine_revision, split_revision};
pub use fleet::{Fleet, FleetClient, FleetInstance, InstanceState, StartRequest};
pub use gateway::GatewayClient;
pub use http_client::build_client;
pub use key_value::{
    KeyValue, KeyValueRecord, Lease, LocalFuture, PlatformError, SwapOutcome, Watch, WatchEvent,
};
pub use wire::{GatewayKeyValue, WatchFrame, decode_base64, encode_base64};
