//! What a data gateway counts for its operators, and the text that tells it. Counters only grow and begin at zero with each
//! process; names and units follow the OpenMetrics text format, by `prometheus-client`.

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

/// Services that are told apart in labels: names of configurations that come and go must not fill the memory.
const MOST_SERVICES: usize = 4096;
/// Stands for the services beyond.
const OTHER_SERVICES: &str = "other";
/// Upper bounds of the histogram's buckets in seconds: the first, the factor between two, and their number (1 ms to 8 s).
const BUCKETS: (f64, f64, u16) = (0.001, 2.0, 14);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

/// How a hand-off ended whose client had left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DepartedEnd {
    /// Nothing had been sent to the host, and nothing was.
    Withdrawn,
    /// Its connection to the host was closed.
    BrokenOff,
    /// The host worked to its end.
    Finished,
}

impl EncodeLabelValue for DepartedEnd {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        let name: &'static str = self.into();
        name.encode(encoder)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DepartedLabel {
    service: String,
    end: DepartedEnd,
}

/// What came of requests whose clients left, since the last line about it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Departures {
    clients: u64,
    withdrawn: u64,
    broken_off: u64,
    finished: u64,
    /// The longest time from a departure to the end of a hand-off.
    longest: Duration,
}

/// The figures of one process.
pub struct Metrics {
    registry: Registry,
    answers: Family<StatusLabel, Counter>,
    connections: Gauge,
    at_work: Gauge,
    departures: Family<ServiceLabel, Counter>,
    departed_hand_offs: Family<DepartedLabel, Counter>,
    departed_seconds: Family<ServiceLabel, Histogram, fn() -> Histogram>,
    services: RefCell<BTreeSet<String>>,
    recent: RefCell<BTreeMap<String, Departures>>,
}

fn histogram() -> Histogram {
    let (first, factor, count) = BUCKETS;
    Histogram::new(exponential_buckets(first, factor, count))
}

impl Metrics {
    /// All figures at zero.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("archlink");
        let answers = Family::default();
        registry.register("answers", "Answers to clients, by status", answers.clone());
        let connections = Gauge::default();
        registry.register("client_connections", "Open connections of clients", connections.clone());
        let at_work = Gauge::default();
        registry.register("requests_at_work", "Requests that are not answered yet", at_work.clone());
        let departures = Family::default();
        let help = "Requests whose client closed its connection before the answer";
        registry.register("client_departures", help, departures.clone());
        let departed_hand_offs = Family::default();
        let help = "Hand-offs to hosts whose client had left, by how they ended";
        registry.register("departed_hand_offs", help, departed_hand_offs.clone());
        let departed_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        let help = "Time from a client's departure to the end of a hand-off for it";
        registry.register_with_unit("departed_hand_off", help, Unit::Seconds, departed_seconds.clone());
        Metrics {
            registry,
            answers,
            connections,
            at_work,
            departures,
            departed_hand_offs,
            departed_seconds,
            services: RefCell::default(),
            recent: RefCell::default(),
        }
    }

    /// The name under which a service is counted.
    fn label(&self, service: &str) -> String {
        let mut services = self.services.borrow_mut();
        if !services.contains(service) && services.len() >= MOST_SERVICES {
            return OTHER_SERVICES.to_string();
        }
        services.insert(service.to_string());
        service.to_string()
    }

    /// An answer went to a client.
    pub fn answered(&self, status: u16) {
        self.answers.get_or_create(&StatusLabel { status }).inc();
    }

    /// A request of that service lost its client.
    pub fn client_departed(&self, service: &str) {
        let service = self.label(service);
        self.recent.borrow_mut().entry(service.clone()).or_default().clients += 1;
        self.departures.get_or_create(&ServiceLabel { service }).inc();
    }

    /// A hand-off ended so long after its client had left.
    pub fn departed_hand_off(&self, service: &str, end: DepartedEnd, after: Duration) {
        let service = self.label(service);
        let mut recent = self.recent.borrow_mut();
        let counts = recent.entry(service.clone()).or_default();
        match end {
            DepartedEnd::Withdrawn => counts.withdrawn += 1,
            DepartedEnd::BrokenOff => counts.broken_off += 1,
            DepartedEnd::Finished => counts.finished += 1,
        }
        counts.longest = counts.longest.max(after);
        self.departed_hand_offs.get_or_create(&DepartedLabel { service: service.clone(), end }).inc();
        self.departed_seconds.get_or_create(&ServiceLabel { service }).observe(after.as_secs_f64());
    }

    /// A line for each service whose requests lost clients since the last call.
    pub fn departure_lines(&self) -> Vec<String> {
        let recent = std::mem::take(&mut *self.recent.borrow_mut());
        let line = |(service, counts): (String, Departures)| {
            format!(
                "{service}: {} clients left; of their hand-offs {} were never sent, {} broken off, {} let run, the last ended {:.2} s later",
                counts.clients,
                counts.withdrawn,
                counts.broken_off,
                counts.finished,
                counts.longest.as_secs_f64()
            )
        };
        recent.into_iter().map(line).collect()
    }

    /// All figures as OpenMetrics text.
    pub fn text(&self, connections: usize, at_work: usize) -> String {
        self.connections.set(connections as i64);
        self.at_work.set(at_work as i64);
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            log::error!("metrics: {e}");
        }
        text
    }
}
