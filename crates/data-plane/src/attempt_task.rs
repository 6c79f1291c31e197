//! One attempt as a task of its own: runs the exchange until the deadline, reports its end to the balancer, the metrics
//! and the request that waits for it.

use crate::attempt_progress::AttemptProgress;
use crate::data_plane::DataPlane;
use crate::metrics::EndAfterDisconnect;
use crate::protocol::{NOT_EXECUTED_TRUE, STATUS_MISDIRECTED, parse_server_load, response_header};
use crate::upstream::{self, AttemptFailure, UpstreamRequest};
use archlink_balancer::balancer::{AttemptEnd, SelectedHost};
use archlink_http::codec::HostResponse;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// One attempt that was decided on.
pub struct Attempt {
    /// Where it goes.
    pub host: SelectedHost,
    /// The host's service.
    pub service: String,
    /// When it ends at the latest.
    pub deadline: Instant,
    /// The request, shared by its attempts.
    pub outgoing: Rc<UpstreamRequest>,
}

/// What came of an attempt.
pub struct AttemptResult {
    /// How far it came.
    pub progress: AttemptProgress,
    /// Some where the progress is `Responded`.
    pub response: Option<HostResponse>,
}

/// Carries one attempt to its end. Where the client has disconnected, `results` may be closed; what is not idempotent is
/// carried on all the same.
pub async fn run_attempt(data_plane: Rc<DataPlane>, attempt: Attempt, results: mpsc::Sender<AttemptResult>) {
    let Attempt { host, service, deadline, outgoing } = attempt;
    let started = data_plane.clock.now();
    let exchanged = timeout_at(deadline, upstream::exchange(&data_plane, &host, &outgoing, deadline)).await;
    let (progress, end, response) = match exchanged {
        Ok(Ok(response)) => {
            let (progress, end) = classify_response(&response);
            (progress, end, Some(response))
        }
        Ok(Err(AttemptFailure { progress, cause })) => {
            log::debug!(host = host.id.as_str(), progress:? = progress, error:% = cause; "attempt failed");
            (progress, end_without_response(progress), None)
        }
        Err(_) => (AttemptProgress::TimedOut, AttemptEnd::TimedOut, None),
    };
    if end == AttemptEnd::ConnectFailed || end == AttemptEnd::TimedOut {
        data_plane.pool.forget(host.key);
    }
    if let Some(elapsed) = outgoing.client.disconnected_for() {
        let end = match progress {
            AttemptProgress::CancelledBeforeSend => EndAfterDisconnect::CancelledBeforeSend,
            AttemptProgress::CancelledAfterSend => EndAfterDisconnect::CancelledAfterSend,
            _ => EndAfterDisconnect::Finished,
        };
        data_plane.metrics.attempt_ended_after_disconnect(&service, end, elapsed);
    }
    let now = data_plane.clock.now();
    data_plane.balancer.borrow_mut().attempt_ended(now, host.key, now - started, end);
    results.try_send(AttemptResult { progress, response }).ok();
}

/// What a response says to the request and to the balancer.
fn classify_response(response: &HostResponse) -> (AttemptProgress, AttemptEnd) {
    let status = response.status;
    let load = response.fields[response_header::SERVER_LOAD].once().and_then(parse_server_load);
    let not_executed = response.fields[response_header::NOT_EXECUTED].once() == Some(NOT_EXECUTED_TRUE);
    let end = match status {
        STATUS_MISDIRECTED => AttemptEnd::Misdirected,
        _ if not_executed => AttemptEnd::Full(load),
        500.. => AttemptEnd::Failed(load),
        _ => AttemptEnd::Answered(load),
    };
    (AttemptProgress::Responded { status, not_executed }, end)
}

/// What an attempt without a response says to the balancer.
fn end_without_response(progress: AttemptProgress) -> AttemptEnd {
    match progress {
        AttemptProgress::CancelledBeforeSend => AttemptEnd::CancelledBeforeSend,
        AttemptProgress::CancelledAfterSend => AttemptEnd::CancelledAfterSend,
        AttemptProgress::NotConnected | AttemptProgress::NothingSent => AttemptEnd::ConnectFailed,
        _ => AttemptEnd::Broken,
    }
}
