//! Plain types a front fills in, and the trait through which the decisions speak back.
//! Times are seconds with fractions on the front's clock; ids stay as the front gives them.

pub type HostId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Pure,
    Receipted,
    Effectful,
}

/// Which hosts drop a receipted inquiry's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct RequestClass {
    pub latency_target: f64,
    pub client_timeout: f64,
    pub importance: f64,
    /// Part of its importance that an answer after the goal time is still worth, 0 to 1.
    pub late_value: f64,
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    pub dedup_window: f64,
}

/// A plan's quota; 0 in `rate` or `ceiling_rate` means that there is no such limit.
#[derive(Clone, Debug, Default)]
pub struct PlanLimits {
    pub rate: f64,
    pub burst: f64,
    pub overage_revenue: f64,
    pub overage_cost: f64,
    pub price: f64,
    pub rate_limit: f64,
    pub rate_limit_burst: f64,
    pub rate_limit_slack: f64,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    pub classes: Vec<RequestClass>,
    pub plans: Vec<PlanLimits>,
    pub gateways: u32,
    pub gateway_number: u32,
    pub zone: u8,
    pub may_count: bool,
    pub count_timeout: f64,
    pub settles: bool,
    pub max_units: f64,
    pub must_subscribe: bool,
    pub ask_within: f64,
    pub sized: bool,
    pub max_attempts: u32,
    pub may_hedge: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_message_peers: bool,
    pub may_advise: bool,
    pub max_retry_after: f64,
    pub drain_grace: f64,
    pub cold_from: f64,
    pub warm_up: f64,
    pub tip_multiple: f64,
    pub tip_for: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    #[default]
    Ready,
    Draining,
    Removed,
}

/// One line of the list of hosts; `started` 0 means long ago.
#[derive(Clone, Debug, Default)]
pub struct HostEntry {
    pub host: HostId,
    pub zone: u8,
    pub kind: u8,
    pub cell: u16,
    pub state: HostState,
    pub size: f64,
    pub started: f64,
}

/// How a piece of the list stands to the list in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListUpdate {
    Delta,
    Full,
    Cached,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: u32,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    /// Seconds until the client abandons this try.
    pub remaining: f64,
    pub units: f64,
    pub spread: u32,
    pub first: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
}

/// A host's own figures, where it gave any.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub util: Option<f64>,
    pub service: Option<f64>,
}

/// How one hand-off ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub request: u32,
    pub attempt: u16,
    /// Nothing more is owed for the inquiry.
    pub final_attempt: bool,
    pub outcome: Outcome,
    pub elapsed: f64,
    pub true_units: f64,
    pub host: HostId,
    pub load: Load,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    Total(f64),
    NotAdded,
    Unknown,
}

/// What the decisions may do to the world outside.
pub trait Driver {
    fn start_attempt(&mut self, inquiry: u32, host: HostId, until: f64);
    fn cancel_attempt(&mut self, inquiry: u32, nth: u16);
    fn reject(&mut self, inquiry: u32, come_back_in: f64);
    fn abort(&mut self, inquiry: u32);
    fn probe(&mut self, host: HostId);
    fn add_to_counter(&mut self, name: u64, amount: f64, keep: f64);
    fn send_to_peers(&mut self, gateway: Option<u32>, words: &[u8]);
    fn subscribe(&mut self);
    fn set_timer(&mut self, after: f64);
    fn log(&mut self, line: &str);
}
