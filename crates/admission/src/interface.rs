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
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct LaneTerms {
    pub goal: f64,
    pub abandon: f64,
    pub importance: f64,
    /// Part of its importance that an answer after the goal time is still worth, 0 to 1.
    pub late_worth: f64,
    pub effect: Effect,
    pub group: Group,
    pub memory: f64,
}

/// A plan's quota; 0 in `rate` or `ceiling_rate` means that there is no such limit.
#[derive(Clone, Debug, Default)]
pub struct PlanTerms {
    pub rate: f64,
    pub burst: f64,
    pub over_earns: f64,
    pub over_costs: f64,
    pub price: f64,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Terms {
    pub lanes: Vec<LaneTerms>,
    pub plans: Vec<PlanTerms>,
    pub gateways: u32,
    pub my_number: u32,
    pub my_zone: u8,
    pub may_count: bool,
    pub count_timeout: f64,
    pub settles: bool,
    pub most_units: f64,
    pub must_subscribe: bool,
    pub ask_within: f64,
    pub sized: bool,
    pub most_hand_offs: u32,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_tell: bool,
    pub may_advise: bool,
    pub most_advice: f64,
    pub drain_grace: f64,
    pub cold_from: f64,
    pub warm_up: f64,
    pub tip_multiple: f64,
    pub tip_for: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the list of hosts; `started` 0 means long ago.
#[derive(Clone, Debug, Default)]
pub struct HostLine {
    pub host: HostId,
    pub zone: u8,
    pub kind: u8,
    pub cell: u16,
    pub standing: Standing,
    pub size: f64,
    pub started: f64,
}

/// How a piece of the list stands to the list in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    Changes,
    Whole,
    Remembered,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Inquiry {
    pub id: u32,
    pub lane: usize,
    pub plan: usize,
    pub customer: u64,
    /// Seconds until the client abandons this try.
    pub left: f64,
    pub units: f64,
    pub spread: u32,
    pub first: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Honoured,
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
pub struct Ended {
    pub inquiry: u32,
    pub nth: u16,
    /// Nothing more is owed for the inquiry.
    pub over: bool,
    pub outcome: Outcome,
    pub took: f64,
    pub true_units: f64,
    pub host: HostId,
    pub load: Load,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Counted {
    Total(f64),
    NotAdded,
    MayBeAdded,
}

/// What the decisions may do to the world outside.
pub trait Outward {
    fn hand_off(&mut self, inquiry: u32, host: HostId, until: f64);
    fn cancel(&mut self, inquiry: u32, nth: u16);
    fn push_back(&mut self, inquiry: u32, come_back_in: f64);
    fn terminate(&mut self, inquiry: u32);
    fn probe(&mut self, host: HostId);
    fn count(&mut self, name: u64, amount: f64, keep: f64);
    fn tell(&mut self, gateway: Option<u32>, words: &[u8]);
    fn subscribe(&mut self);
    fn wake(&mut self, after: f64);
    fn trace(&mut self, line: &str);
}
