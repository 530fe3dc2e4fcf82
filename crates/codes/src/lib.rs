//! Numbered error codes and the problem document that callers receive.
//!
//! Every refusal or failure carries an [`ErrorCode`]. The meaning of a number is stable across
//! releases, so that operators can look it up in `docs/ERRORS.md` and programs can match on it. The
//! [`Execution`] of a [`Problem`] is whether the call has run, and thus whether a retry is safe.
//!
//! ```
//! use hickorycourse_codes::prelude::*;
//!
//! let problem = Problem::new(ErrorCode::QueueFull).with_retry_after_s(2);
//! assert_eq!(problem.status(), 429);
//! assert_eq!(problem.execution, Execution::NotRun);
//! ```

mod code;
mod problem;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{ErrorCode, Execution, Problem};
}

pub use code::ErrorCode;
pub use problem::{Execution, Problem};
