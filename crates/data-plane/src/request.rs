//! The stages of a request:
//!
//! 1. parse: reads its id and its client's timeout, and checks the size of its body ([`parse`]);
//! 2. route: determines its route and its tenant ([`crate::routing`]);
//! 3. select: checks that a host is available and the request is not shed ([`crate::host_selection`]);
//! 4. quota: charges the request to its tenant's quota ([`crate::quota_enforcement`]);
//! 5. dispatch: sends it to hosts, with retries and hedged requests ([`crate::dispatch`]);
//! 6. respond: relays the host's response or sends a local reply ([`relay`], [`crate::local_reply`]).
//!
//! Invariant: a request that a stage rejects is answered at once and reaches no later stage.

use crate::attempts::{AttemptRules, Attempts};
use crate::client_presence::ClientPresence;
use crate::data_plane::DataPlane;
use crate::deadline::{self, Deadline};
use crate::dispatch::dispatch;
use crate::host_selection::HostSelection;
use crate::local_reply::LocalReply;
use crate::protocol::{self, append_header, request_header, response_header};
use crate::routing::{self, RoutedRequest};
use crate::upstream::UpstreamRequest;
use archlink_http::codec::{HostResponse, Request, Response};
use futures_util::FutureExt;
use std::rc::Rc;

/// Capacity in bytes that is reserved for the header lines added to the forwarded ones: the id and the seal.
const OWN_HEADERS_CAPACITY: usize = 96;

/// Processes one request of `client` and returns the response.
///
/// Maps the future instead of awaiting it, because an enclosing `async fn` would store the request twice.
pub fn respond(
    data_plane: &Rc<DataPlane>,
    request: Request,
    client: &ClientPresence,
) -> impl Future<Output = Response> {
    process(data_plane, request, client).map(|outcome| match outcome {
        Ok(response) => relay(response),
        Err(local_reply) => local_reply.into_response(),
    })
}

async fn process(
    data_plane: &Rc<DataPlane>,
    request: Request,
    client: &ClientPresence,
) -> Result<HostResponse, LocalReply> {
    let started = data_plane.clock.now();
    let configuration = data_plane.configuration().ok_or(LocalReply::NotConfirmed)?;
    let parsed = parse(&request, configuration.max_body)?;
    let routed = routing::route(data_plane, &configuration, &request)?;
    let deadline = Deadline::new(started, parsed.client_timeout, routed.route.timeout);
    let attempts = Attempts::new(attempt_rules(&routed));
    let mut selection = HostSelection::new(data_plane, &routed, deadline);
    // Before the quota, so that a request that no host can take is not charged to its tenant.
    if selection.select().is_none() {
        return Err(LocalReply::NoHostResponse(attempts.local_outcome()));
    }
    acquire_quota(&selection, &routed, &attempts, client).await?;
    selection.exempt_from_load_shedding();
    let outgoing = Rc::new(upstream_request(request, parsed.id, &routed, client));
    dispatch(&mut selection, attempts, &outgoing, routed.tenant.is_some()).await
}

/// Header values that are independent of the route.
struct ParsedRequest {
    id: String,
    /// Seconds that the client waits for the response.
    client_timeout: f64,
}

fn parse(request: &Request, max_body: usize) -> Result<ParsedRequest, LocalReply> {
    let id = request.fields[request_header::ATTEMPT_ID].once().ok_or(LocalReply::BadRequest)?.to_string();
    let client_timeout = deadline::client_timeout(&request.fields[request_header::TIME_REMAINING]);
    let client_timeout = client_timeout.ok_or(LocalReply::BadRequest)?;
    if request.body.len() > max_body {
        return Err(LocalReply::BodyTooLarge);
    }
    Ok(ParsedRequest { id, client_timeout })
}

fn attempt_rules(routed: &RoutedRequest<'_>) -> AttemptRules {
    AttemptRules {
        idempotent: routed.route.idempotent,
        max_attempts: routed.route.max_attempts,
        latency_target: routed.route.latency_target,
    }
}

/// Charges the request to its tenant's quota, if it has one. If the client disconnects while the quota counter's verdict
/// is pending, the request is withdrawn from the counter.
async fn acquire_quota(
    selection: &HostSelection<'_>,
    routed: &RoutedRequest<'_>,
    attempts: &Attempts,
    client: &ClientPresence,
) -> Result<(), LocalReply> {
    let Some(tenant) = routed.tenant.filter(|tenant| tenant.rate > 0.0) else { return Ok(()) };
    let acquisition = selection.data_plane().acquire_quota(tenant, selection.deadline().time_limit);
    match client.unless_disconnected(acquisition).await {
        Some(Ok(())) => {
            client.refresh().await;
            Ok(())
        }
        Some(Err(exceeded)) => Err(LocalReply::QuotaExceeded { retry_after: exceeded.retry_after }),
        None => Err(selection.client_disconnected(attempts.local_outcome())),
    }
}

/// The request to send to hosts: with the client's other headers, the id, and the tenant's name instead of the key.
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

/// Converts the host's response to the response to the client.
fn relay(response: HostResponse) -> Response {
    let mut lines = Vec::with_capacity(response.forwarded.len() + OWN_HEADERS_CAPACITY);
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
