//! Spans: one for each hop of a call.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde_json::{Value, json};

/// Where a call stands in its trace, as `traceparent` carries it (W3C Trace Context).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// The trace.
    pub trace_id: u128,
    /// The span that what follows belongs to.
    pub span_id: u64,
}

impl TraceContext {
    /// Starts a new trace.
    pub fn new_trace() -> Self {
        Self { trace_id: rand::random::<u128>() | 1, span_id: rand::random::<u64>() | 1 }
    }

    /// Reads a `traceparent` header.
    pub fn from_header(text: &str) -> Option<Self> {
        let parts: Vec<&str> = text.split('-').collect();
        let ["00", trace_id, span_id, _flags] = parts.as_slice() else { return None };
        if trace_id.len() != 32 || span_id.len() != 16 {
            return None;
        }
        let trace_id = u128::from_str_radix(trace_id, 16).ok().filter(|id| *id != 0)?;
        let span_id = u64::from_str_radix(span_id, 16).ok().filter(|id| *id != 0)?;
        Some(Self { trace_id, span_id })
    }

    /// Writes a `traceparent` header.
    pub fn to_header(self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }

    /// The context of a child span.
    pub fn child(self) -> Self {
        Self { trace_id: self.trace_id, span_id: rand::random::<u64>() | 1 }
    }
}

/// A span that is open. [`Span::end`] hands it to the collector.
#[derive(Clone, Debug)]
pub struct Span {
    /// Where what follows belongs.
    pub context: TraceContext,
    name: &'static str,
    parent_id: Option<u64>,
    started_at_ns: u64,
    attributes: Vec<SpanAttribute>,
}

#[derive(Clone, Debug)]
struct SpanAttribute {
    name: &'static str,
    value: String,
}

impl Span {
    /// Opens a span below a context that came from outside, or the first of a new trace.
    pub fn start(name: &'static str, outer: Option<TraceContext>) -> Self {
        let context = outer.map_or_else(TraceContext::new_trace, TraceContext::child);
        let parent_id = outer.map(|outer| outer.span_id);
        Self { context, name, parent_id, started_at_ns: now_ns(), attributes: Vec::new() }
    }

    /// Adds an attribute.
    pub fn set(&mut self, name: &'static str, value: impl Into<String>) {
        self.attributes.push(SpanAttribute { name, value: value.into() });
    }

    /// Ends the span.
    pub fn end(self, collector: &SpanCollector) {
        collector.add(self, now_ns());
    }
}

fn now_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64)
}

struct EndedSpan {
    span: Span,
    ended_at_ns: u64,
}

/// Keeps ended spans until they are exported; the oldest are dropped when it is full.
#[derive(Default)]
pub struct SpanCollector {
    is_exporting: bool,
    ended: Mutex<VecDeque<EndedSpan>>,
}

const SPANS_KEPT_MOST: usize = 20_000;
const BATCH_MOST: usize = 2_000;

impl SpanCollector {
    /// Creates a collector; one that doesn't export writes spans to the log at once.
    pub fn new(is_exporting: bool) -> Self {
        Self { is_exporting, ended: Mutex::default() }
    }

    fn add(&self, span: Span, ended_at_ns: u64) {
        if !self.is_exporting {
            log::debug!(
                target: "span",
                "{} {} took {} us, trace {:032x}.",
                span.name,
                describe(&span.attributes),
                ended_at_ns.saturating_sub(span.started_at_ns) / 1_000,
                span.context.trace_id,
            );
            return;
        }
        let mut ended = self.ended.lock();
        if ended.len() >= SPANS_KEPT_MOST {
            ended.pop_front();
        }
        ended.push_back(EndedSpan { span, ended_at_ns });
    }

    /// Takes out a batch as the body of an OTLP request; `None` if there is nothing to export.
    pub fn take_batch(&self, instance: &str) -> Option<Value> {
        let mut ended = self.ended.lock();
        if ended.is_empty() {
            return None;
        }
        let count = ended.len().min(BATCH_MOST);
        let batch: Vec<EndedSpan> = ended.drain(..count).collect();
        drop(ended);
        Some(render_batch(instance, &batch))
    }
}

fn describe(attributes: &[SpanAttribute]) -> String {
    let parts: Vec<String> = attributes.iter().map(|a| format!("{}={}", a.name, a.value)).collect();
    parts.join(" ")
}

/// Writes spans as an OTLP `ExportTraceServiceRequest` in JSON.
pub fn render_otlp(instance: &str, spans: Vec<Value>) -> Value {
    json!({ "resourceSpans": [{
        "resource": { "attributes": [
            text_attribute("service.name", "hickorycourse-entry"),
            text_attribute("service.instance.id", instance),
        ]},
        "scopeSpans": [{ "scope": { "name": "hickorycourse" }, "spans": spans }],
    }]})
}

fn render_batch(instance: &str, batch: &[EndedSpan]) -> Value {
    render_otlp(instance, batch.iter().map(render_span).collect())
}

fn render_span(ended: &EndedSpan) -> Value {
    let span = &ended.span;
    let attributes: Vec<Value> =
        span.attributes.iter().map(|a| text_attribute(a.name, &a.value)).collect();
    json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "parentSpanId": span.parent_id.map(|id| format!("{id:016x}")).unwrap_or_default(),
        "name": span.name,
        "kind": 2,
        "startTimeUnixNano": span.started_at_ns.to_string(),
        "endTimeUnixNano": ended.ended_at_ns.to_string(),
        "attributes": attributes,
    })
}

fn text_attribute(name: &str, value: &str) -> Value {
    json!({ "key": name, "value": { "stringValue": value } })
}
