//! Metrics through opentelemetry, readable as Prometheus text. One counter per thing that can be
//! counted, with the reason as a label: each refusal and each retry carries its error code.

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
    counts: Counter<u64>,
    levels: Gauge<u64>,
    waits: Histogram<f64>,
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
        counts: meter.u64_counter("savory_events").build(),
        levels: meter.u64_gauge("savory_level").build(),
        waits: meter.f64_histogram("savory_seconds").build(),
        registry,
        provider,
    }
}

/// Counts a refusal by its code and the stage that refused (`admission`, `routing`, `guard`, …).
pub(crate) fn count_refusal(kind: ErrorKind, stage: &'static str) {
    let labels = [
        KeyValue::new("reason", error_spec(kind).code),
        KeyValue::new("stage", stage),
    ];
    metric_set().refusals.add(1, &labels);
}

/// Counts a retry by the code of the failure that it follows.
pub(crate) fn count_retry(kind: ErrorKind) {
    metric_set()
        .retries
        .add(1, &[KeyValue::new("reason", error_spec(kind).code)]);
}

/// Counts something that is neither a refusal nor a retry, by name.
pub(crate) fn count_event(name: &'static str, by: u64) {
    metric_set().counts.add(by, &[KeyValue::new("event", name)]);
}

/// Sets a level, such as a queue's length, by name and what it belongs to.
pub(crate) fn set_gauge(name: &'static str, of: &str, level: u64) {
    let labels = [
        KeyValue::new("name", name),
        KeyValue::new("of", of.to_owned()),
    ];
    metric_set().levels.record(level, &labels);
}

/// Records a span of time in seconds, by name.
pub(crate) fn record_seconds(name: &'static str, seconds: f64) {
    metric_set()
        .waits
        .record(seconds, &[KeyValue::new("name", name)]);
}

/// The Prometheus text of everything counted so far.
pub(crate) fn render_text() -> String {
    let metrics = metric_set();
    // The provider is kept alive by the set; naming it here says why it is held.
    let _ = &metrics.provider;
    let mut text = Vec::new();
    match TextEncoder::new().encode(&metrics.registry.gather(), &mut text) {
        Ok(()) => String::from_utf8(text).unwrap_or_default(),
        Err(fault) => format!("# metrics cannot be shown: {fault}\n"),
    }
}
