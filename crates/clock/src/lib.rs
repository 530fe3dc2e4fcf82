//! Clock and timer service.
//!
//! Decisions never read a clock: they are handed `now_ms`. Programs get it from a [`Clock`], tests
//! from a [`ManualClock`]. Parts that work at intervals subscribe to the [`TimerService`]; dropping
//! the subscription ends it.
//!
//! ```
//! use hickorycourse_clock::prelude::*;
//!
//! let clock = ManualClock::new(1_000);
//! clock.advance_ms(5);
//! assert_eq!(clock.now_ms(), 1_005);
//! ```

mod clock;
mod timer;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{Clock, ManualClock, SystemClock, Tick, TimerService};
}

pub use clock::{Clock, ManualClock, SystemClock};
pub use timer::{Tick, TimerService};
