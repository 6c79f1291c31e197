//! Metrics of a data node for its operators, encoded as OpenMetrics text. Counters start at zero with each process.

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

/// Maximum number of services with their own label value: configurations that keep adding and removing services must not
/// exhaust the memory.
const MAX_SERVICE_LABEL_VALUES: usize = 4096;
/// The label value that all further services share.
const OTHER_SERVICES_LABEL: &str = "other";
/// Buckets of the histogram, from 1 ms to 8 s: the first upper bound in seconds, the factor between successive bounds, and
/// the number of buckets.
const FIRST_BUCKET: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 14;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TaskLabels {
    task: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

/// How an attempt ended after its client had disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndAfterDisconnect {
    /// The attempt was cancelled before anything was sent to the host.
    #[strum(serialize = "withdrawn")]
    CancelledBeforeSend,
    /// The attempt was cancelled by closing the connection to the host.
    #[strum(serialize = "broken_off")]
    CancelledAfterSend,
    /// The attempt was not cancelled and ran to its end.
    Finished,
}

impl EncodeLabelValue for EndAfterDisconnect {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        let name: &'static str = self.into();
        name.encode(encoder)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DisconnectLabels {
    service: String,
    end: EndAfterDisconnect,
}

/// Counts of one service's requests whose clients disconnected, since the last summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DisconnectSummary {
    /// Number of requests whose client disconnected.
    pub clients: u64,
    /// Number of their attempts that were cancelled before anything was sent.
    pub cancelled_before_send: u64,
    /// Number of their attempts that were cancelled after something was sent.
    pub cancelled_after_send: u64,
    /// Number of their attempts that ran to their end.
    pub finished: u64,
    /// Longest time from a disconnect to the end of an attempt.
    pub max_elapsed: Duration,
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    responses: Family<StatusLabels, Counter>,
    connections: Gauge,
    in_flight: Gauge,
    task_restarts: Family<TaskLabels, Counter>,
    disconnects: Family<ServiceLabels, Counter>,
    attempts_after_disconnect: Family<DisconnectLabels, Counter>,
    seconds_after_disconnect: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    service_labels: RefCell<BTreeSet<String>>,
    summaries: RefCell<BTreeMap<String, DisconnectSummary>>,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKET_COUNT))
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// The names and help texts are part of the operators' interface: monitoring systems and scripts compare them, so they
    /// stay the same and keep older words, such as "hand-off" for an attempt.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("archlink");
        let responses = Family::default();
        registry.register("answers", "Answers to clients, by status", responses.clone());
        let connections = Gauge::default();
        registry.register("client_connections", "Open connections of clients", connections.clone());
        let in_flight = Gauge::default();
        registry.register("requests_at_work", "Requests that are not answered yet", in_flight.clone());
        let task_restarts = Family::default();
        let help = "Tasks that were started again after a panic";
        registry.register("task_restarts", help, task_restarts.clone());
        let disconnects = Family::default();
        let help = "Requests whose client closed its connection before the answer";
        registry.register("client_departures", help, disconnects.clone());
        let attempts_after_disconnect = Family::default();
        let help = "Hand-offs to hosts whose client had left, by how they ended";
        registry.register("departed_hand_offs", help, attempts_after_disconnect.clone());
        let seconds_after_disconnect = Family::new_with_constructor(duration_histogram as fn() -> Histogram);
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
            task_restarts,
            disconnects,
            attempts_after_disconnect,
            seconds_after_disconnect,
            service_labels: RefCell::default(),
            summaries: RefCell::default(),
        }
    }

    /// The label value under which a service is counted.
    fn service_label(&self, service: &str) -> String {
        let mut labels = self.service_labels.borrow_mut();
        if !labels.contains(service) && labels.len() >= MAX_SERVICE_LABEL_VALUES {
            return OTHER_SERVICES_LABEL.to_string();
        }
        labels.insert(service.to_string());
        service.to_string()
    }

    /// Counts a response to a client.
    pub fn response_sent(&self, status: u16) {
        self.responses.get_or_create(&StatusLabels { status }).inc();
    }

    /// Counts the restart of a task that panicked.
    pub fn task_restarted(&self, task: &'static str) {
        self.task_restarts.get_or_create(&TaskLabels { task }).inc();
    }

    /// Counts a request to this service whose client disconnected.
    pub fn client_disconnected(&self, service: &str) {
        let service = self.service_label(service);
        self.summaries.borrow_mut().entry(service.clone()).or_default().clients += 1;
        self.disconnects.get_or_create(&ServiceLabels { service }).inc();
    }

    /// Records that an attempt ended, `elapsed` after its client had disconnected.
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
        self.attempts_after_disconnect
            .get_or_create(&DisconnectLabels { service: service.clone(), end })
            .inc();
        self.seconds_after_disconnect
            .get_or_create(&ServiceLabels { service })
            .observe(elapsed.as_secs_f64());
    }

    /// Takes the summaries of all services with disconnects since the last call, by label value.
    pub fn take_disconnect_summaries(&self) -> BTreeMap<String, DisconnectSummary> {
        std::mem::take(&mut *self.summaries.borrow_mut())
    }

    /// Encodes all metrics as OpenMetrics text, with these current values for the gauges.
    pub fn encode(&self, connections: usize, in_flight: usize) -> String {
        self.connections.set(connections as i64);
        self.in_flight.set(in_flight as i64);
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            log::error!(error:% = e; "encoding of metrics failed");
        }
        text
    }
}
