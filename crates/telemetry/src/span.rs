//! Trace spans, one per step of a call, such as waiting in the queue or an attempt at an upstream.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde_json::{Value, json};

/// Position of a call in its trace, as propagated by the `traceparent` header (W3C Trace Context).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// Id of the trace; not 0.
    pub trace_id: u128,
    /// Id of the span that is the parent of further spans; not 0.
    pub span_id: u64,
}

impl TraceContext {
    /// Creates the context of a new trace with random ids.
    pub fn new_trace() -> Self {
        Self { trace_id: rand::random::<u128>() | 1, span_id: rand::random::<u64>() | 1 }
    }

    /// Parses a `traceparent` header of version 00; `None` if it is malformed or an id is 0.
    pub fn from_traceparent(text: &str) -> Option<Self> {
        let parts: Vec<&str> = text.split('-').collect();
        let ["00", trace_id, span_id, _flags] = parts.as_slice() else { return None };
        if trace_id.len() != 32 || span_id.len() != 16 {
            return None;
        }
        let trace_id = u128::from_str_radix(trace_id, 16).ok().filter(|id| *id != 0)?;
        let span_id = u64::from_str_radix(span_id, 16).ok().filter(|id| *id != 0)?;
        Some(Self { trace_id, span_id })
    }

    /// Formats a `traceparent` header with the sampled flag set.
    pub fn to_traceparent(self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }

    /// Creates the context of a child span in the same trace.
    pub fn child(self) -> Self {
        Self { trace_id: self.trace_id, span_id: rand::random::<u64>() | 1 }
    }
}

/// An open span. [`Span::end`] passes it to the collector; a span that is dropped instead is not
/// recorded.
#[derive(Clone, Debug)]
pub struct Span {
    /// Context to propagate to child spans and downstream calls.
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
    /// Starts a span as a child of `parent`, or as the root span of a new trace without it.
    pub fn start(name: &'static str, parent: Option<TraceContext>) -> Self {
        let context = parent.map_or_else(TraceContext::new_trace, TraceContext::child);
        let parent_id = parent.map(|parent| parent.span_id);
        Self { context, name, parent_id, started_at_ns: now_ns(), attributes: Vec::new() }
    }

    /// Adds an attribute to the span.
    pub fn set_attribute(&mut self, name: &'static str, value: impl Into<String>) {
        self.attributes.push(SpanAttribute { name, value: value.into() });
    }

    /// Ends the span and passes it to the collector.
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

/// Buffers ended spans until they are exported; drops the oldest when the buffer is full.
#[derive(Default)]
pub struct SpanCollector {
    is_exporting: bool,
    ended: Mutex<VecDeque<EndedSpan>>,
}

/// Number of ended spans that the collector buffers.
const MAX_BUFFERED_SPANS: usize = 20_000;
/// Maximum number of spans in one OTLP request.
const MAX_BATCH_SPANS: usize = 2_000;

impl SpanCollector {
    /// Creates a collector. Without export, spans are written to the debug log as they end.
    pub fn new(is_exporting: bool) -> Self {
        Self { is_exporting, ended: Mutex::default() }
    }

    fn add(&self, span: Span, ended_at_ns: u64) {
        if !self.is_exporting {
            log::debug!(
                target: "span",
                "{} {} took {} us, trace {:032x}.",
                span.name,
                format_attributes(&span.attributes),
                ended_at_ns.saturating_sub(span.started_at_ns) / 1_000,
                span.context.trace_id,
            );
            return;
        }
        let mut ended = self.ended.lock();
        if ended.len() >= MAX_BUFFERED_SPANS {
            ended.pop_front();
        }
        ended.push_back(EndedSpan { span, ended_at_ns });
    }

    /// Removes a batch of the oldest spans and renders it as the body of an OTLP request; `None` if
    /// there is nothing to export.
    pub fn take_batch(&self, instance: &str) -> Option<Value> {
        let mut ended = self.ended.lock();
        if ended.is_empty() {
            return None;
        }
        let count = ended.len().min(MAX_BATCH_SPANS);
        let batch: Vec<EndedSpan> = ended.drain(..count).collect();
        drop(ended);
        Some(render_batch(instance, &batch))
    }
}

fn format_attributes(attributes: &[SpanAttribute]) -> String {
    let parts: Vec<String> = attributes.iter().map(|a| format!("{}={}", a.name, a.value)).collect();
    parts.join(" ")
}

/// Renders spans as an OTLP `ExportTraceServiceRequest` in JSON.
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
