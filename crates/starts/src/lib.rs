//! Starts of upstreams: which one accepted a connection, and the version of its software.
//!
//! Free of I/O: the current time is an argument. An upstream that starts again keeps its id and may keep its address,
//! while its version may change. The platform lists the new start later, so what is listed when a connection is
//! opened does not tell which start accepts it. A [`StartTable`] derives that from facts whose order is known; what
//! they leave open is unknown.

mod table;
mod witnesses;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{Acceptance, ListedStart, StartTable, WitnessPlan};
}

pub use table::{Acceptance, ListedStart, StartTable};
pub use witnesses::{
    Admission, IdleTime, MAX_ASK_INTERVAL_MS, MAX_WITNESSES, MIN_ASK_INTERVAL_MS, WitnessPlan,
};
