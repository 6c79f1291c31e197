//! The task of one attempt: runs the exchange with the host until the deadline, and reports its end to the balancer, the
//! metrics and the request.

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

/// An attempt to be made.
pub struct Attempt {
    /// The host to send the request to.
    pub host: SelectedHost,
    /// Name of the host's service.
    pub service: String,
    /// When the attempt times out.
    pub deadline: Instant,
    /// The request, shared by all its attempts.
    pub outgoing: Rc<UpstreamRequest>,
}

/// The result of an attempt.
pub struct AttemptResult {
    /// How far the attempt progressed.
    pub progress: AttemptProgress,
    /// The host's response; present if and only if the progress is `Responded`.
    pub response: Option<HostResponse>,
}

/// Runs one attempt to its end and sends its result. `results` may be closed if the client has disconnected; an attempt
/// that is not idempotent continues all the same.
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

/// The progress and the end of an attempt that a response stands for.
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

/// The end of an attempt without a response, as reported to the balancer.
fn end_without_response(progress: AttemptProgress) -> AttemptEnd {
    match progress {
        AttemptProgress::CancelledBeforeSend => AttemptEnd::CancelledBeforeSend,
        AttemptProgress::CancelledAfterSend => AttemptEnd::CancelledAfterSend,
        AttemptProgress::NotConnected | AttemptProgress::NothingSent => AttemptEnd::ConnectFailed,
        _ => AttemptEnd::Broken,
    }
}
