//! Trace spans, one for each hop, with propagation of the W3C `traceparent` header.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use opentelemetry::trace::{
    Span, SpanBuilder, SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags, TraceId,
    TraceState, Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};

/// Header of the trace context, as defined by W3C Trace Context.
const TRACEPARENT_HEADER: &str = "traceparent";

/// Exports spans to a collector. Without a collector, no spans are created and the caller's trace
/// context is forwarded unchanged.
#[derive(Clone, Default)]
pub struct TraceExporter {
    active: Option<(SdkTracerProvider, SdkTracer)>,
}

impl TraceExporter {
    /// Starts the export to the collector at `endpoint`. Must be called within a tokio runtime.
    pub fn start(endpoint: &str, vm: &str) -> Result<Self, Box<str>> {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(format!("{endpoint}/v1/traces"))
            .build()
            .map_err(|error| format!("trace exporter: {error}"))?;
        let resource = Resource::builder()
            .with_service_name("mustardrail")
            .with_attribute(KeyValue::new("service.instance.id", vm.to_owned()))
            .build();
        let processor =
            BatchSpanProcessor::builder(exporter, opentelemetry_sdk::runtime::Tokio).build();
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_resource(resource)
            .build();
        let tracer = provider.tracer("mustardrail");
        Ok(Self { active: Some((provider, tracer)) })
    }

    /// Starts the span of this hop, as a child of the span in `headers` if there is one.
    pub fn start_hop_span(
        &self,
        name: &'static str,
        kind: SpanKind,
        headers: &HeaderMap,
    ) -> HopSpan {
        let Some((_, tracer)) = &self.active else {
            return HopSpan { span: None };
        };
        let parent = match parse_traceparent(headers) {
            Some(context) => Context::new().with_remote_span_context(context),
            None => Context::new(),
        };
        let builder = SpanBuilder::from_name(name).with_kind(kind);
        HopSpan { span: Some(tracer.build_with_context(builder, &parent)) }
    }

    /// Exports the buffered spans and stops the exporter.
    pub fn stop(&self) {
        if let Some((provider, _)) = &self.active {
            // Failures are ignored: an unreachable collector must not block the shutdown.
            let _ = provider.shutdown();
        }
    }
}

/// Span of one hop, which ends when dropped.
pub struct HopSpan {
    span: Option<opentelemetry_sdk::trace::Span>,
}

impl HopSpan {
    /// Sets the trace context for the next hop. Without a span, the headers stay unchanged.
    pub fn inject(&self, headers: &mut HeaderMap) {
        let Some(span) = &self.span else {
            return;
        };
        let context = span.span_context();
        let text = format!(
            "00-{}-{}-{:02x}",
            context.trace_id(),
            context.span_id(),
            context.trace_flags().to_u8()
        );
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(TRACEPARENT_HEADER, value);
        }
    }

    /// Records the response status and ends the span.
    pub fn end_with_status(&mut self, status: u16) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new("http.response.status_code", i64::from(status)));
            if status >= 500 {
                span.set_status(Status::error(format!("status {status}")));
            }
            span.end();
        }
    }
}

/// Parses the caller's trace context; returns `None` if it is missing or invalid.
fn parse_traceparent(headers: &HeaderMap) -> Option<SpanContext> {
    let text = headers.get(TRACEPARENT_HEADER)?.to_str().ok()?;
    let fields: Vec<&str> = text.split('-').collect();
    let [_, trace, span, flags] = fields[..] else {
        return None;
    };
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::new(u8::from_str_radix(flags, 16).ok()?),
        true,
        TraceState::NONE,
    );
    context.is_valid().then_some(context)
}
