//! Platform borders: key-value service, instance list and cloud.
//!
//! The key-value service is met in the shape of the etcd v3 JSON gateway (`/v3/kv/range`,
//! `/v3/kv/txn`, `/v3/watch`, `/v3/lease/*`). Everything behind [`KeyValue`] and [`Fleet`] is a trait
//! object.

mod fleet;
mod gateway;
mod http_client;
mod key_value;
mod wire;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        Fleet, FleetClient, FleetInstance, GatewayClient, InstanceState, KeyValue, Lease,
        LocalFuture, PlatformError, Stored, Swap, Watch, WatchEvent,
    };
}

pub use fleet::{Fleet, FleetClient, FleetInstance, InstanceState, StartRequest};
pub use gateway::GatewayClient;
pub use http_client::build_client;
pub use key_value::{KeyValue, Lease, LocalFuture, PlatformError, Stored, Swap, Watch, WatchEvent};
pub use wire::{GatewayKeyValue, WatchFrame, decode, encode};
