//! Forecast of the time at which a streamed response is complete.
//!
//! Free of I/O: the current time is an argument. A [`CompletionModel`] belongs to one service. It learns how long
//! responses of each route are ([`LengthModel`]) and how fast the events of a usual upstream come at each fill of
//! its batch ([`ServicePace`]). With the speed of one upstream it forecasts a [`Completion`] there: the
//! expected time to the end, and the probability that it lies before the deadline.
//!
//! Lengths and paces are taken as log-normal, so that their product is so, too.

mod forecast;
mod length;
mod pace;

pub use forecast::{Completion, CompletionModel, WorkEstimate};
pub use length::{LengthEstimate, LengthModel, UsableHint};
pub use pace::{PaceEstimate, ServicePace};

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{Completion, CompletionModel};
}
