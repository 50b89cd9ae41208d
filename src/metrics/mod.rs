//! Metrics, collected with opentelemetry and exported in the Prometheus text format. A small fixed
//! set of instruments carries all values; labels state the name or the reason. Refusals and retries
//! are labelled with their error code.

use std::sync::OnceLock;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::errors::{ErrorKind, error_spec};

const METER_NAME: &str = "savoryswitch";

struct MetricSet {
    registry: Registry,
    provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    retry_budget: Counter<u64>,
    events: Counter<u64>,
    gauges: Gauge<u64>,
    durations: Histogram<f64>,
}

static METRICS: OnceLock<MetricSet> = OnceLock::new();

fn metric_set() -> &'static MetricSet {
    METRICS.get_or_init(build_metric_set)
}

fn build_metric_set() -> MetricSet {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build();
    let mut builder = SdkMeterProvider::builder();
    if let Ok(exporter) = exporter {
        builder = builder.with_reader(exporter);
    }
    let provider = builder.build();
    let meter = provider.meter(METER_NAME);
    MetricSet {
        refusals: meter.u64_counter("savory_refusals").build(),
        retries: meter.u64_counter("savory_retries").build(),
        retry_budget: meter.u64_counter("savory_retry_budget").build(),
        events: meter.u64_counter("savory_events").build(),
        gauges: meter.u64_gauge("savory_level").build(),
        durations: meter.f64_histogram("savory_seconds").build(),
        registry,
        provider,
    }
}

/// Counts a refusal by error code and by the stage that refused (`admission`, `routing`, `guard`,
/// …).
pub(crate) fn count_refusal(kind: ErrorKind, stage: &'static str) {
    let labels = [
        KeyValue::new("reason", error_spec(kind).code),
        KeyValue::new("stage", stage),
    ];
    metric_set().refusals.add(1, &labels);
}

/// Counts a retry by the error code of the failure that caused it.
pub(crate) fn count_retry(kind: ErrorKind) {
    metric_set()
        .retries
        .add(1, &[KeyValue::new("reason", error_spec(kind).code)]);
}

/// Counts what a request did with a retry budget (`charged`, `refunded`, `denied`, `free`), by the
/// reason why it is sent again.
pub(crate) fn count_retry_budget(action: &'static str, reason: &'static str) {
    let labels = [
        KeyValue::new("action", action),
        KeyValue::new("reason", reason),
    ];
    metric_set().retry_budget.add(1, &labels);
}

/// Adds `by` to the counter of the named event, which is neither a refusal nor a retry.
pub(crate) fn count_event(name: &'static str, by: u64) {
    metric_set().events.add(by, &[KeyValue::new("event", name)]);
}

/// Sets a gauge, such as a queue length. `of` names the object that it describes.
pub(crate) fn set_gauge(name: &'static str, of: &str, value: u64) {
    let labels = [
        KeyValue::new("name", name),
        KeyValue::new("of", of.to_owned()),
    ];
    metric_set().gauges.record(value, &labels);
}

/// Records a duration in seconds in the histogram of that name.
pub(crate) fn record_seconds(name: &'static str, seconds: f64) {
    metric_set()
        .durations
        .record(seconds, &[KeyValue::new("name", name)]);
}

/// Renders all metrics in the Prometheus text format.
pub(crate) fn render_text() -> String {
    let metrics = metric_set();
    // The provider is never read: the set stores it only to keep the instruments alive.
    let _ = &metrics.provider;
    let mut text = Vec::new();
    match TextEncoder::new().encode(&metrics.registry.gather(), &mut text) {
        Ok(()) => String::from_utf8(text).unwrap_or_default(),
        Err(error) => format!("# cannot encode metrics: {error}\n"),
    }
}
