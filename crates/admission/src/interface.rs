//! Types that a driver fills in, and the trait through which the decisions act on the outside world.
//!
//! Times are seconds on the driver's monotonic clock; identifiers are assigned by the driver.

/// The driver's number of a host.
pub type HostId = u64;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Reads only; may run any number of times.
    Pure,
    /// Carries an idempotency key; hosts drop repeats of a key within its [`DedupScope`], for a limited time.
    Deduplicated,
    /// Must not run twice.
    Effectful,
}

/// Which hosts share their memory of idempotency keys, and so drop repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// A class of requests, from the settings' `classes`.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency target, in seconds.
    pub latency_target: f64,
    /// Seconds that a client waits for one try.
    pub client_timeout: f64,
    /// Value of an answer in time, relative to other classes.
    pub importance: f64,
    /// Share of the importance that an answer after the latency target still has, 0 to 1.
    pub late_value: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Which hosts drop repeats of a request with an idempotency key.
    pub dedup_scope: DedupScope,
    /// Seconds for which hosts remember an idempotency key.
    pub dedup_window: f64,
}

/// A plan's limits; a `rate` or `rate_limit` of 0 means no such limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanLimits {
    /// Quota in units a second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Revenue of one unit beyond the quota.
    pub overage_revenue: f64,
    /// Cost of one unit beyond the quota.
    pub overage_cost: f64,
    /// Price of one unit within the quota.
    pub price: f64,
    /// Hard rate limit in units a second, above the quota.
    pub rate_limit: f64,
    /// Burst of the hard rate limit, in units.
    pub rate_limit_burst: f64,
    /// Units beyond the hard limit that are tolerated.
    pub rate_limit_slack: f64,
}

/// Settings of a gateway's decisions.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Plans, by index.
    pub plans: Vec<PlanLimits>,
    /// Number of gateways in the deployment.
    pub gateways: u32,
    /// This gateway's number among them, from 0 on.
    pub gateway_number: u32,
    /// This gateway's zone.
    pub zone: u8,
    /// Whether there is a shared counter.
    pub may_count: bool,
    /// Timeout of a call to the counter, in seconds.
    pub count_timeout: f64,
    /// Whether hosts report the units that a request actually used, so that the difference is settled.
    pub settles: bool,
    /// Units of the largest request.
    pub max_units: f64,
    /// Whether host lists come by subscription.
    pub must_subscribe: bool,
    /// Longest wait between two attempts to subscribe, in seconds.
    pub max_subscribe_wait: f64,
    /// Whether hosts differ in capacity.
    pub hosts_differ_in_capacity: bool,
    /// Largest number of attempts for one request.
    pub max_attempts: u32,
    /// Whether a second attempt may run beside the first (hedged request).
    pub may_hedge: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether hosts may be probed.
    pub may_probe: bool,
    /// Whether gateways may send messages to each other.
    pub may_message_peers: bool,
    /// Whether a rejection may carry a `Retry-After`.
    pub may_send_retry_after: bool,
    /// Largest `Retry-After`, in seconds.
    pub max_retry_after: f64,
    /// Seconds after which nothing may be sent to a draining host.
    pub drain_grace: f64,
    /// Share of its capacity that a host has when it starts.
    pub cold_capacity_share: f64,
    /// Seconds until a host that has started has its full capacity.
    pub warm_up: f64,
    /// Load at which a host becomes overloaded and slow, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// Seconds for which an overloaded host stays slow.
    pub overload_duration: f64,
}

/// State of a host in the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes its requests; takes no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// An entry of the host list.
#[derive(Clone, Debug, Default)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: u8,
    /// Its kind of machine.
    pub kind: u8,
    /// Its cell, for [`DedupScope::Cell`].
    pub cell: u16,
    /// Whether it takes requests.
    pub state: HostState,
    /// Its capacity relative to others.
    pub size: f64,
    /// When it started, in seconds; 0 means long ago.
    pub started: f64,
}

/// How a received host list relates to the one in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list from a cache, as last received.
    Cached,
    /// No list: the subscription failed.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique among open requests.
    pub id: u32,
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    /// Its customer.
    pub customer: u64,
    /// Seconds until the client gives up.
    pub remaining: f64,
    /// Units that the request is expected to use.
    pub units: f64,
    /// The number of gateways that its customer uses.
    pub spread: u32,
    /// The gateway number of the first of them.
    pub first: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Answered,
    /// An answer that reports a failure of the host.
    Error,
    /// The host had no capacity and did not run it.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection ended before the answer was complete.
    Reset,
    /// Cancelled by the gateway.
    Cancelled,
    /// Nothing was sent.
    NeverSent,
}

/// A host's own load report; values that it did not report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Utilization, 0 to 1.
    pub util: Option<f64>,
    /// Service time, in seconds.
    pub service: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: u32,
    /// Number of the attempt, from 0 on.
    pub attempt: u16,
    /// Whether the client has its answer, so that the request is finished.
    pub final_attempt: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Seconds that it took.
    pub elapsed: f64,
    /// Units that the request actually used; 0 means not reported.
    pub true_units: f64,
    /// The host.
    pub host: HostId,
    /// The host's load report.
    pub load: Load,
}

/// The counter's reply to one add.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    /// Added; the total under the key after the add.
    Total(f64),
    /// Definitely not added.
    NotAdded,
    /// No reply: it may have been added.
    Unknown,
}

/// The actions of the decisions, implemented by a driver. An implementation must not call back into [`Admission`].
///
/// [`Admission`]: crate::admission::Admission
pub trait Driver {
    /// Sends the request to a host. `until` is when the attempt has to end, in seconds; 0 means with the request.
    fn start_attempt(&mut self, request: u32, host: HostId, until: f64);
    /// Cancels an attempt in flight; its end is reported like any other.
    fn cancel_attempt(&mut self, request: u32, attempt: u16);
    /// Rejects the request: the client may retry, after `retry_after` seconds unless that is 0.
    fn reject(&mut self, request: u32, retry_after: f64);
    /// Tells the client that the request failed and may have run.
    fn abort(&mut self, request: u32);
    /// Checks whether a host's process runs; the result is reported by `probe_finished`.
    fn probe(&mut self, host: HostId);
    /// Adds to a counter key, which expires `lifetime` seconds after its first add; the reply is reported by
    /// `counter_replied`.
    fn add_to_counter(&mut self, key: u64, amount: f64, lifetime: f64);
    /// Sends bytes to one gateway, or to all if `gateway` is `None`.
    fn send_to_peers(&mut self, gateway: Option<u32>, payload: &[u8]);
    /// Subscribes to host lists.
    fn subscribe(&mut self);
    /// Sets the only timer, replacing an earlier one: `timer_fired` is due after so many seconds. A call before that time, for an
    /// earlier setting, is ignored and does not take its place.
    fn set_timer(&mut self, after: f64);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
