//! How long an answer of a quorum counts. In one place, since requests and the log go by the same limits.

/// Seconds for which a quorum's answer counts as contact: as long as a data node stays with a control node that no quorum
/// answers (`archlink_control_client::session`). A request that starts later in a partition would only wait to end unclear.
pub const MAX_CONTACT_AGE: f64 = 2.0;

/// Seconds after the start in which requests wait for a quorum instead of being rejected at once. The links of a process
/// that has only started come up one by one, a voter with an emptied disk has recovered after 2.5 s, and after a power loss
/// of all nodes nobody has an answer yet: a request that waits is accepted as soon as a quorum is there, while one that is
/// rejected comes back after a pause that grows.
pub const STARTUP_GRACE: f64 = 5.0;
