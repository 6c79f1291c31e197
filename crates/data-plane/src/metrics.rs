//! The counters, gauges and histograms of a data node for its operators, as OpenMetrics text by `prometheus-client`.
//! Counters begin at zero with each process.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use strum::IntoStaticStr;

/// Services with labels of their own: configurations that add and remove names must not exhaust the memory.
const MAX_SERVICE_LABELS: usize = 4096;
/// The label of the services beyond.
const OTHER_SERVICES: &str = "other";
/// The histogram's buckets, 1 ms to 8 s: the first upper bound in seconds, the factor between two, and their number.
const FIRST_BUCKET: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKETS: u16 = 14;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

/// How an attempt ended whose client had disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndAfterDisconnect {
    /// Nothing had been sent to the host, and nothing was.
    #[strum(serialize = "withdrawn")]
    CancelledBeforeSend,
    /// Its connection to the host was closed.
    #[strum(serialize = "broken_off")]
    CancelledAfterSend,
    /// The host executed it to its end.
    Finished,
}

impl EncodeLabelValue for EndAfterDisconnect {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        let name: &'static str = self.into();
        name.encode(encoder)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    service: String,
    end: EndAfterDisconnect,
}

/// What came of one service's requests whose clients disconnected, since the last summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DisconnectSummary {
    /// Requests whose client disconnected.
    pub clients: u64,
    /// Their attempts that were never sent.
    pub cancelled_before_send: u64,
    /// Their attempts that were cancelled at the host.
    pub cancelled_after_send: u64,
    /// Their attempts that were executed to their end.
    pub finished: u64,
    /// The longest time from a disconnect to the end of an attempt.
    pub max_elapsed: Duration,
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    responses: Family<StatusLabel, Counter>,
    connections: Gauge,
    in_flight: Gauge,
    disconnects: Family<ServiceLabel, Counter>,
    attempts_after_disconnect: Family<EndLabels, Counter>,
    seconds_after_disconnect: Family<ServiceLabel, Histogram, fn() -> Histogram>,
    service_labels: RefCell<BTreeSet<String>>,
    summaries: RefCell<BTreeMap<String, DisconnectSummary>>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS))
}

impl Metrics {
    /// All metrics at zero. Their names are scraped: they stay.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("archlink");
        let responses = Family::default();
        registry.register("answers", "Answers to clients, by status", responses.clone());
        let connections = Gauge::default();
        registry.register("client_connections", "Open connections of clients", connections.clone());
        let in_flight = Gauge::default();
        registry.register("requests_at_work", "Requests that are not answered yet", in_flight.clone());
        let disconnects = Family::default();
        let help = "Requests whose client closed its connection before the answer";
        registry.register("client_departures", help, disconnects.clone());
        let attempts_after_disconnect = Family::default();
        let help = "Hand-offs to hosts whose client had left, by how they ended";
        registry.register("departed_hand_offs", help, attempts_after_disconnect.clone());
        let seconds_after_disconnect = Family::new_with_constructor(histogram as fn() -> Histogram);
        let help = "Time from a client's departure to the end of a hand-off for it";
        registry.register_with_unit(
            "departed_hand_off",
            help,
            Unit::Seconds,
            seconds_after_disconnect.clone(),
        );
        Metrics {
            registry,
            responses,
            connections,
            in_flight,
            disconnects,
            attempts_after_disconnect,
            seconds_after_disconnect,
            service_labels: RefCell::default(),
            summaries: RefCell::default(),
        }
    }

    /// The label under which a service is counted.
    fn service_label(&self, service: &str) -> String {
        let mut labels = self.service_labels.borrow_mut();
        if !labels.contains(service) && labels.len() >= MAX_SERVICE_LABELS {
            return OTHER_SERVICES.to_string();
        }
        labels.insert(service.to_string());
        service.to_string()
    }

    /// A response goes to a client.
    pub fn response_sent(&self, status: u16) {
        self.responses.get_or_create(&StatusLabel { status }).inc();
    }

    /// The client of a request to that service disconnected.
    pub fn client_disconnected(&self, service: &str) {
        let service = self.service_label(service);
        self.summaries.borrow_mut().entry(service.clone()).or_default().clients += 1;
        self.disconnects.get_or_create(&ServiceLabel { service }).inc();
    }

    /// An attempt ended so long after its client had disconnected.
    pub fn attempt_ended_after_disconnect(&self, service: &str, end: EndAfterDisconnect, elapsed: Duration) {
        let service = self.service_label(service);
        let mut summaries = self.summaries.borrow_mut();
        let summary = summaries.entry(service.clone()).or_default();
        match end {
            EndAfterDisconnect::CancelledBeforeSend => summary.cancelled_before_send += 1,
            EndAfterDisconnect::CancelledAfterSend => summary.cancelled_after_send += 1,
            EndAfterDisconnect::Finished => summary.finished += 1,
        }
        summary.max_elapsed = summary.max_elapsed.max(elapsed);
        self.attempts_after_disconnect.get_or_create(&EndLabels { service: service.clone(), end }).inc();
        self.seconds_after_disconnect.get_or_create(&ServiceLabel { service }).observe(elapsed.as_secs_f64());
    }

    /// The summary of each service with disconnects since the last call, by its label.
    pub fn take_disconnect_summaries(&self) -> BTreeMap<String, DisconnectSummary> {
        std::mem::take(&mut *self.summaries.borrow_mut())
    }

    /// All metrics as OpenMetrics text, with the gauges' values of this moment.
    pub fn encode(&self, connections: usize, in_flight: usize) -> String {
        self.connections.set(connections as i64);
        self.in_flight.set(in_flight as i64);
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            log::error!(error:% = e; "metrics not encoded");
        }
        text
    }
}
