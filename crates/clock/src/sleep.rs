//! Time limits of asynchronous tasks.
//!
//! A process may be suspended, or a thread may not run for seconds. The timers of ntex count the time of those that are set
//! before its timer task has run again from the last expiry before, so that they last longer by the whole interruption.

pub use tokio::time::{Sleep, sleep, timeout};
