//! Time limits of quorum contact. They are shared, because admission of requests and the transition log use the same limits.

/// Seconds for which a quorum's reply counts as contact: the time that a data node stays with a control node that has lost its
/// quorum (`archlink_control_client::session`). A request that is started later in a partition would only time out with an
/// unknown outcome.
pub const MAX_CONTACT_AGE: f64 = 2.0;

/// Seconds after the start in which requests wait for a quorum instead of being rejected at once. The links of a new process
/// connect one after another, a voter whose disk was wiped takes 2.5 s to recover, and after a power loss of all nodes no node
/// has quorum contact yet. A request that waits is accepted as soon as there is a quorum, whereas a rejected one is retried
/// with an increasing backoff.
pub const STARTUP_GRACE: f64 = 5.0;
