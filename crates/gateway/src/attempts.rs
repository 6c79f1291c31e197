//! The tasks of attempts and probes. Each runs one exchange with one host, for no longer than it was given; an exchange
//! that is cancelled closes its connection.

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

/// Least deadline that is sent to a host, in seconds: a request never names one of 0.
const MIN_HOST_DEADLINE: f64 = 0.001;
/// A probe has as long for its reply as for its connection.
const PROBE_CONNECT_TIMEOUTS: u32 = 2;

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

async fn run_attempt(
    report: AttemptReport,
    message: Option<Rc<ClientRequest>>,
    cancelled: oneshot::Receiver<()>,
) {
    let deadline = report.dispatcher.clock.instant(report.attempt.deadline);
    let Some(message) = message.filter(|_| deadline > Instant::now()) else { return report.never_sent() };
    let reply_started = Cell::new(false);
    // A reply that started and did not finish is a broken one, whoever stopped waiting for it.
    let unless_started = |end| match reply_started.get() {
        true => AttemptEnd::Failed(ExchangeError::sent(io::ErrorKind::UnexpectedEof.into())),
        false => end,
    };
    let end = tokio::select! {
        biased;
        reply = send(&report, &message, &reply_started) => match reply {
            Ok(reply) => AttemptEnd::Replied(reply),
            Err(error) => AttemptEnd::Failed(error),
        },
        _ = cancelled => unless_started(AttemptEnd::Cancelled),
        _ = sleep_until(deadline) => unless_started(AttemptEnd::TimedOut),
    };
    // The host is unreachable or hangs: its other pooled connections are no better.
    let unreachable = matches!(
        &end,
        AttemptEnd::TimedOut | AttemptEnd::Failed(ExchangeError { progress: Progress::NotSent, .. })
    );
    if unreachable {
        report.dispatcher.connections.forget(report.attempt.host);
    }
    report.ended(end);
}

async fn send(
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
    let host = address.to_string();
    let remaining = (attempt.deadline - dispatcher.clock.now()).max(MIN_HOST_DEADLINE);
    let on_start = || {
        if !reply_started.replace(true) {
            dispatcher.call(|admission, now, driver| {
                admission.response_started(now, driver, attempt.request, attempt.number);
            });
        }
    };
    let message = HostMessage::Attempt { request, host: &host, remaining };
    exchange(&dispatcher.connections, attempt.host, connection, message, on_start).await
}

/// On a connection of its own, so that it shows whether new ones can be opened.
async fn run_probe(report: ProbeReport, address: Option<SocketAddr>) {
    let Some(address) = address else { return };
    let (connections, host, id) = (report.dispatcher.connections.clone(), address.to_string(), report.host);
    let probe = async {
        let connection = connections.open(address).await.map_err(ExchangeError::not_sent)?;
        exchange(&connections, id, connection, HostMessage::Probe { host: &host }, || ()).await
    };
    let reply = timeout(connections.connect_timeout() * PROBE_CONNECT_TIMEOUTS, probe).await;
    report.ended(reply.ok().and_then(Result::ok));
}
