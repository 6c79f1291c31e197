//! The tasks that run attempts and probes. Each runs one exchange with one host, bounded by a deadline. Cancelling an
//! exchange closes its connection.

use crate::dispatcher::Dispatcher;
use crate::driver::{Attempt, TaskSpawner};
use crate::http::{ClientRequest, HostMessage, HostReply};
use crate::outcome::{AttemptEnd, AttemptReport, ProbeReport};
use crate::upstream::{ExchangeError, Progress, exchange};
use archlink_admission::interface::HostId;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Minimum deadline sent to a host, in seconds, so that a request never carries a deadline of 0.
const MIN_HOST_DEADLINE: f64 = 0.001;
/// Total time for a probe as a multiple of the connect timeout: as long for the reply as for the connection.
const PROBE_TIMEOUT_FACTOR: u32 = 2;

impl TaskSpawner for Dispatcher {
    fn spawn_attempt(
        self: Rc<Self>,
        attempt: Attempt,
        message: Option<Rc<ClientRequest>>,
        cancelled: oneshot::Receiver<()>,
    ) {
        spawn_local(run_attempt(AttemptReport::new(self, attempt), message, cancelled));
    }

    fn spawn_probe(self: Rc<Self>, host: HostId, address: Option<SocketAddr>) {
        spawn_local(run_probe(ProbeReport::new(self, host), address));
    }
}

/// Runs an attempt until the host replies, the exchange fails, the attempt is cancelled or its deadline passes.
async fn run_attempt(
    report: AttemptReport,
    message: Option<Rc<ClientRequest>>,
    cancelled: oneshot::Receiver<()>,
) {
    let deadline = report.dispatcher.clock.instant(report.attempt.deadline);
    let Some(message) = message.filter(|_| deadline > Instant::now()) else {
        return report.report_never_sent();
    };
    let reply_started = Cell::new(false);
    // A reply that started but did not finish counts as broken, whether the deadline or a cancellation ended the wait.
    let unless_reply_started = |end| match reply_started.get() {
        true => AttemptEnd::Failed(ExchangeError::sent(io::ErrorKind::UnexpectedEof.into())),
        false => end,
    };
    let end = tokio::select! {
        biased;
        reply = send_attempt(&report, &message, &reply_started) => match reply {
            Ok(reply) => AttemptEnd::Replied(reply),
            Err(error) => AttemptEnd::Failed(error),
        },
        _ = cancelled => unless_reply_started(AttemptEnd::Cancelled),
        _ = sleep_until(deadline) => unless_reply_started(AttemptEnd::TimedOut),
    };
    // The host is unreachable or hangs, so its pooled connections are not reused either.
    let unreachable = matches!(
        &end,
        AttemptEnd::TimedOut | AttemptEnd::Failed(ExchangeError { progress: Progress::NotSent, .. })
    );
    if unreachable {
        report.dispatcher.connections.forget(report.attempt.host);
    }
    report.report_end(end);
}

/// Sends the request on a pooled or new connection and reads the reply.
async fn send_attempt(
    report: &AttemptReport,
    request: &ClientRequest,
    reply_started: &Cell<bool>,
) -> Result<HostReply, ExchangeError> {
    let (dispatcher, attempt) = (&report.dispatcher, report.attempt);
    let address =
        attempt.address.ok_or_else(|| ExchangeError::not_sent(io::ErrorKind::AddrNotAvailable.into()))?;
    let connection = match dispatcher.connections.take(attempt.host, address) {
        Some(connection) => connection,
        None => dispatcher.connections.open(address).await.map_err(ExchangeError::not_sent)?,
    };
    let host_header = address.to_string();
    let remaining = (attempt.deadline - dispatcher.clock.now()).max(MIN_HOST_DEADLINE);
    let on_reply_start = || {
        if !reply_started.replace(true) {
            dispatcher.call(|admission, now, driver| {
                admission.response_started(now, driver, attempt.request, attempt.number);
            });
        }
    };
    let message = HostMessage::Attempt { request, host_header: &host_header, remaining };
    exchange(&dispatcher.connections, attempt.host, connection, message, on_reply_start).await
}

/// Probes a host on a new connection, which also shows whether the host accepts connections.
async fn run_probe(report: ProbeReport, address: Option<SocketAddr>) {
    let Some(address) = address else { return };
    let (connections, host_header, host) =
        (report.dispatcher.connections.clone(), address.to_string(), report.host);
    let probe = async {
        let connection = connections.open(address).await.map_err(ExchangeError::not_sent)?;
        exchange(&connections, host, connection, HostMessage::Probe { host_header: &host_header }, || ())
            .await
    };
    let reply = timeout(connections.connect_timeout() * PROBE_TIMEOUT_FACTOR, probe).await;
    report.report_reply(reply.ok().and_then(Result::ok));
}
