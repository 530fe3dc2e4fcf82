//! Logging, metrics and tracing.
//!
//! Log records are written as text or JSON, with their target as prefix or field. Metrics are
//! rendered in the Prometheus text format. Each step of a call records a [`Span`]; ended spans are
//! collected for export as OTLP JSON (the OpenTelemetry protocol), or logged at debug level if no export
//! address is configured. An [`EventLog`] writes one JSON line per event, rate-limited and without
//! blocking.

mod events;
mod logs;
mod meter;
mod span;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{EventLog, LogOptions, Meter, Span, SpanCollector, TraceContext, init_logging};
}

pub use events::EventLog;
pub use logs::{LogOptions, init_logging};
pub use meter::Meter;
pub use span::{Span, SpanCollector, TraceContext, render_otlp};
