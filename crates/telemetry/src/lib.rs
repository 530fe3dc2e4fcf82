//! Logs, metrics and spans.
//!
//! Log lines are short sentences with the name of their part as prefix, as text or JSON. Metrics are
//! rendered in the usual text format. Each hop of a call writes a [`Span`]; spans are collected and
//! handed to an exporter as OTLP JSON, or written to the log where no address is set. An [`EventLog`]
//! writes one JSON line for each decision, bounded and without ever blocking.

mod events;
mod logs;
mod meter;
mod span;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{EventLog, LogOptions, Meter, Span, SpanCollector, TraceContext, start_logs};
}

pub use events::EventLog;
pub use logs::{LogOptions, start_logs};
pub use meter::Meter;
pub use span::{Span, SpanCollector, TraceContext, render_otlp};
