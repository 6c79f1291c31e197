//! A request's way, stage by stage:
//!
//! 1. parse: its id, its client's time and its size ([`parse`]);
//! 2. route: which route, whose key ([`crate::routing`]);
//! 3. select: is there a host with room, by the admission queue ([`crate::host_selection`]);
//! 4. admit: is there quota left ([`crate::admission`]);
//! 5. attempt: to hosts, with retries and a hedged request ([`crate::dispatch`]);
//! 6. relay: the host's response, or one of our own ([`relay`], [`crate::rejection`]).
//!
//! Invariant: a request that one stage rejects reaches no later one, and is answered at once.

use crate::attempts::{AttemptRules, Attempts};
use crate::client_presence::ClientPresence;
use crate::data_plane::DataPlane;
use crate::deadline::{self, Deadline};
use crate::dispatch::dispatch;
use crate::host_selection::HostSelection;
use crate::protocol::{self, append_header, request_header, response_header};
use crate::rejection::Rejection;
use crate::routing::{self, RoutedRequest};
use crate::upstream::UpstreamRequest;
use archlink_http::codec::{HostResponse, Request, Response};
use futures_util::FutureExt;
use std::rc::Rc;

/// Bytes that a response's header lines may need beside those that are passed on: the id and the seal.
const OWN_HEADERS: usize = 96;

/// The response to one request of `client`.
///
/// Mapped rather than awaited: a second future around the first would keep the request twice.
pub fn respond(
    data_plane: &Rc<DataPlane>,
    request: Request,
    client: &ClientPresence,
) -> impl Future<Output = Response> {
    process(data_plane, request, client).map(|outcome| match outcome {
        Ok(response) => relay(response),
        Err(rejection) => rejection.response(),
    })
}

async fn process(
    data_plane: &Rc<DataPlane>,
    request: Request,
    client: &ClientPresence,
) -> Result<HostResponse, Rejection> {
    let started = data_plane.clock.now();
    let configuration = data_plane.configuration().ok_or(Rejection::NotConfirmed)?;
    let parsed = parse(&request, configuration.max_body)?;
    let routed = routing::route(data_plane, &configuration, &request)?;
    let deadline = Deadline::new(started, parsed.client_time, routed.route.timeout);
    let attempts = Attempts::new(attempt_rules(&routed));
    let mut selection = HostSelection::new(data_plane, &routed, deadline);
    // Before the quota: a request that no host can take costs its tenant nothing.
    if selection.select().is_none() {
        return Err(Rejection::NoResponse(attempts.local_outcome()));
    }
    admit(&selection, &routed, &attempts, client).await?;
    selection.exempt_from_load_shedding();
    let outgoing = Rc::new(upstream_request(request, parsed.id, &routed, client));
    dispatch(&mut selection, attempts, &outgoing, routed.tenant.is_some()).await
}

/// What the headers of a request say for all routes.
struct ParsedRequest {
    id: String,
    /// Seconds that the client waits.
    client_time: f64,
}

fn parse(request: &Request, max_body: usize) -> Result<ParsedRequest, Rejection> {
    let id = request.fields[request_header::ATTEMPT_ID].once().ok_or(Rejection::BadRequest)?.to_string();
    let client_time = deadline::client_time(&request.fields[request_header::TIME_REMAINING]);
    let client_time = client_time.ok_or(Rejection::BadRequest)?;
    if request.body.len() > max_body {
        return Err(Rejection::BodyTooLarge);
    }
    Ok(ParsedRequest { id, client_time })
}

fn attempt_rules(routed: &RoutedRequest<'_>) -> AttemptRules {
    AttemptRules {
        idempotent: routed.route.idempotent,
        max_attempts: routed.route.max_attempts,
        latency_target: routed.route.latency_target,
    }
}

/// Admits the request against its tenant's quota, if it has one. Where the client disconnects while the quota counter is
/// asked, the question is taken back with the wait for its answer.
async fn admit(
    selection: &HostSelection<'_>,
    routed: &RoutedRequest<'_>,
    attempts: &Attempts,
    client: &ClientPresence,
) -> Result<(), Rejection> {
    let Some(tenant) = routed.tenant.filter(|tenant| tenant.rate > 0.0) else { return Ok(()) };
    let admission = selection.data_plane().admit(tenant, selection.deadline().time_limit);
    match client.unless_disconnected(admission).await {
        Some(Ok(())) => {
            client.recheck().await;
            Ok(())
        }
        Some(Err(exceeded)) => Err(Rejection::QuotaExceeded { retry_after: exceeded.retry_after }),
        None => Err(selection.client_disconnected(attempts.local_outcome())),
    }
}

/// The request as it goes to hosts: the client's other headers, its id, and its tenant's name in place of the key.
fn upstream_request(
    request: Request,
    id: String,
    routed: &RoutedRequest<'_>,
    client: &ClientPresence,
) -> UpstreamRequest {
    let mut header_lines = request.forwarded.clone();
    append_header(&mut header_lines, protocol::ATTEMPT_ID, &id);
    if let Some(tenant) = routed.tenant {
        append_header(&mut header_lines, protocol::SUBSCRIBER, &tenant.name);
    }
    let origin = request.host.once().unwrap_or("").to_string();
    let (client, idempotent) = (client.clone(), routed.route.idempotent);
    UpstreamRequest { request, id, header_lines, origin, client, idempotent }
}

/// The host's response as the client gets it.
fn relay(response: HostResponse) -> Response {
    let mut lines = Vec::with_capacity(response.forwarded.len() + OWN_HEADERS);
    for (name, position) in [
        (protocol::ATTEMPT_ID, response_header::ATTEMPT_ID),
        (protocol::SERVER_SEAL, response_header::SERVER_SEAL),
    ] {
        if let Some(value) = response.fields[position].once() {
            append_header(&mut lines, name, value);
        }
    }
    lines.extend_from_slice(&response.forwarded);
    Response { status: response.status, header_lines: lines, body: response.body, close: false }
}
