//! Clock and timer service.
//!
//! Decision logic never reads a clock; it receives the current time as `now_ms`. Processes read it
//! from a [`Clock`], tests from a [`ManualClock`]. Periodic tasks subscribe to the
//! [`TimerService`]; dropping the subscription cancels it. Tasks limit their waits with [`sleep`] and
//! [`timeout`].
//!
//! ```
//! use hickorycourse_clock::prelude::*;
//!
//! let clock = ManualClock::new(1_000);
//! clock.advance_ms(5);
//! assert_eq!(clock.now_ms(), 1_005);
//! ```

mod clock;
mod sleep;
mod timer;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{Clock, ManualClock, SystemClock, Tick, TimerService};
}

pub use clock::{Clock, ManualClock, SystemClock};
pub use sleep::{Elapsed, Sleep, Timeout, sleep, timeout};
pub use timer::{Tick, TimerService};
