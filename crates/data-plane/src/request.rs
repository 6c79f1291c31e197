//! A client's request from its head to its answer: which route, whose key, within which quota, by which host. Owns the
//! client protocol's names and the order of these questions. Must never send on what an earlier question refused, and
//! answers what is refused at once.

use crate::attempts::{Attempts, Final, Next, Rules};
use crate::client::Client;
use crate::gateway::Gateway;
use crate::hand_off::{HandOff, Outcome, Outgoing, carry, relayed};
use archlink_balancer::balancer::{HostRequest, QueueTicket, SelectedHost};
use archlink_config::{Configuration, Route, Tenant};
use archlink_http::codec::{HeaderValue, Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Headers that are read of a request and never passed on as the client sent them.
pub const READ: &[&str] = &["attempt-id", "time-remaining", "key", "subscriber", "target-instance"];
pub const ATTEMPT_ID: usize = 0;
const TIME_REMAINING: usize = 1;
const KEY: usize = 2;

/// Where neither the client nor the route says how long.
const LONGEST: f64 = 60.0;
/// Where a configuration, or a word that it still holds, is due any moment.
const SOON: f64 = 0.25;

fn come_back(status: u16, after: f64) -> Response {
    Response::plain(status).with("Retry-After", format_args!("{:.3}", after.max(0.001)))
}

/// Homes of the route and of the tenant bind both; `None`: no region is left.
fn homes(route: &Route, tenant: Option<&Tenant>) -> Option<Vec<String>> {
    let theirs = tenant.map_or(&[][..], |tenant| &tenant.homes);
    match (route.home_regions.is_empty(), theirs.is_empty()) {
        (_, true) => Some(route.home_regions.clone()),
        (true, _) => Some(theirs.to_vec()),
        _ => {
            let both: Vec<String> =
                route.home_regions.iter().filter(|home| theirs.contains(home)).cloned().collect();
            (!both.is_empty()).then_some(both)
        }
    }
}

struct Asked<'a> {
    route: &'a Route,
    tenant: Option<&'a Tenant>,
}

/// The route and the tenant of a request, or the answer that it gets instead.
fn place<'a>(
    gateway: &Gateway,
    configuration: &'a Configuration,
    request: &Request,
) -> Result<Asked<'a>, Response> {
    let Some(origin) = request.host.once() else { return Err(Response::plain(400)) };
    let path = request.target.split('?').next().unwrap_or("");
    let origin = origin
        .rsplit_once(':')
        .filter(|(_, port)| port.parse::<u16>().is_ok())
        .map_or(origin, |(name, _)| name);
    // Which routes and keys there are may have changed: who can't know says so.
    let known = gateway.vouched();
    let Some(number) = configuration.route(origin, path) else {
        return Err(if known { Response::plain(404) } else { come_back(503, SOON) });
    };
    let route = &configuration.routes[number];
    if route.public || !configuration.keyed {
        return Ok(Asked { route, tenant: None });
    }
    if !known {
        return Err(come_back(503, SOON));
    }
    let tenant = match &request.fields[KEY] {
        HeaderValue::Once(key) => configuration.tenant(key),
        HeaderValue::Absent => None,
        HeaderValue::Ambiguous => return Err(Response::plain(400)),
    };
    match tenant {
        Some(number) => Ok(Asked { route, tenant: Some(&configuration.tenants[number]) }),
        None => Err(Response::plain(401)),
    }
}

/// How long an answer may be expected to take for a request to be let in at all, in parts of its goal time: where every host
/// is as full as that, its client is better served by being turned away at once.
const PATIENCE: f64 = 0.9;

/// A number from 0 to 1.
fn draw() -> f64 {
    (archlink_runtime::random_seed() >> 11) as f64 / (1_u64 << 53) as f64
}

/// One of a route's services by their weights, first, and the others after it.
fn services(route: &Route) -> Vec<&str> {
    let sum: f64 = route.distribution.iter().map(|share| share.weight).sum();
    let mut at = draw() * sum;
    let mut first = 0;
    for (n, share) in route.distribution.iter().enumerate().filter(|_| route.distribution.len() > 1) {
        first = n;
        at -= share.weight;
        if at < 0.0 {
            break;
        }
    }
    let weighty =
        route.distribution.iter().enumerate().filter(|(n, share)| *n != first && share.weight > 0.0);
    [route.distribution[first].service.as_str()]
        .into_iter()
        .chain(weighty.map(|(_, s)| s.service.as_str()))
        .collect()
}

/// The answer to a request of that client.
pub async fn respond(gateway: &Rc<Gateway>, request: Request, client: &Client) -> Response {
    let began = gateway.clock.now();
    let Some(configuration) = gateway.configuration() else { return come_back(503, SOON) };
    let (id, told) = match (&request.fields[ATTEMPT_ID], &request.fields[TIME_REMAINING]) {
        (HeaderValue::Once(id), HeaderValue::Once(told)) => (id.clone(), Some(told.parse::<f64>())),
        (HeaderValue::Once(id), HeaderValue::Absent) => (id.clone(), None),
        _ => return Response::plain(400),
    };
    let told = match told {
        Some(Ok(millis)) if millis.is_finite() && millis >= 0.0 => millis / 1e3,
        None => LONGEST,
        _ => return Response::plain(400),
    };
    if request.body.len() > configuration.max_body {
        return Response::plain(413);
    }
    let asked = match place(gateway, &configuration, &request) {
        Ok(asked) => asked,
        Err(answer) => return answer,
    };
    let left = told.min(asked.route.timeout).min(LONGEST);
    let mut selection = HostSelection {
        gateway,
        homes: homes(asked.route, asked.tenant),
        services: services(asked.route),
        goal: asked.route.latency_target,
        within: asked.route.latency_target * PATIENCE,
        until: began + left,
        tried: Vec::new(),
        door: Some(QueueTicket {
            priority: asked.tenant.and_then(|tenant| tenant.priority).unwrap_or(asked.route.priority),
            draw: draw(),
        }),
    };
    let rules = Rules {
        repeatable: asked.route.idempotent,
        attempts: asked.route.max_attempts,
        goal: asked.route.latency_target,
    };
    // Room first: a request that no host can take costs its tenant nothing.
    if selection.choose().is_none() {
        return finally(Attempts::new(rules).no_more());
    }
    if let Some(tenant) = asked.tenant.filter(|tenant| tenant.rate > 0.0) {
        match client.unless_departed(gateway.admit(tenant, left)).await {
            Some(Ok(())) => client.look_again().await,
            Some(Err(wait)) => return come_back(429, wait),
            // The question is taken back with the wait for its answer.
            None => return selection.abandoned(Attempts::new(rules).no_more()),
        }
    }
    selection.door = None;
    let mut lines = request.forwarded.clone();
    lines.extend_from_slice(format!("Attempt-Id: {id}\r\n").as_bytes());
    if let Some(tenant) = asked.tenant {
        lines.extend_from_slice(format!("Subscriber: {}\r\n", tenant.name).as_bytes());
    }
    let origin = request.host.once().unwrap_or("").to_string();
    let repeatable = rules.repeatable;
    let outgoing = Rc::new(Outgoing { request, id, lines, origin, client: client.clone(), repeatable });
    forward(&mut selection, Attempts::new(rules), &outgoing, &asked).await
}

fn finally(last: Final) -> Response {
    match last {
        Final::ComeBack(after) => come_back(503, after),
        Final::Unknown => Response::plain(502),
    }
}

struct HostSelection<'a> {
    gateway: &'a Rc<Gateway>,
    homes: Option<Vec<String>>,
    services: Vec<&'a str>,
    goal: f64,
    /// Longest that its answer may be expected to take.
    within: f64,
    until: f64,
    tried: Vec<u64>,
    door: Option<QueueTicket>,
}

impl HostSelection<'_> {
    /// A host for it, and its service; the one that the weights drew first.
    fn choose(&self) -> Option<(SelectedHost, &str)> {
        let homes = self.homes.as_deref()?;
        let now = self.gateway.clock.now();
        let mut balancer = self.gateway.balancer.borrow_mut();
        self.services.iter().find_map(|service| {
            let need = HostRequest {
                service,
                home_regions: homes,
                latency_target: self.goal,
                remaining: self.within.min(self.until - now),
                tried: &self.tried,
                queue_ticket: self.door,
            };
            balancer.select(now, &need).map(|chosen| (chosen, *service))
        })
    }

    /// The client left: its request ends so.
    fn abandoned(&self, last: Final) -> Response {
        self.gateway.metrics.client_departed(self.services[0]);
        finally(last)
    }
}

async fn forward(
    selection: &mut HostSelection<'_>,
    mut attempts: Attempts,
    outgoing: &Rc<Outgoing>,
    asked: &Asked<'_>,
) -> Response {
    const MOST_OUT: usize = 8;
    let (gateway, client) = (selection.gateway.clone(), &outgoing.client);
    let until = gateway.clock.instant_at(selection.until);
    let (sender, mut outcomes) = mpsc::channel::<Outcome>(MOST_OUT);
    let (mut go, mut paid) = (true, false);
    let mut doubt: Option<Instant> = None;
    let mut departed = false;
    loop {
        if go && attempts.has_begun() {
            client.look_again().await;
        }
        if std::mem::take(&mut go) && !client.has_departed() {
            // What is true of keys is looked at again after each wait, a freeze of the machine among them.
            let allowed = asked.tenant.is_none() || gateway.vouched();
            let chosen =
                selection.choose().filter(|_| allowed).map(|(chosen, service)| (chosen, service.to_string()));
            let chosen =
                chosen.filter(|(_, service)| !paid || gateway.budget.borrow_mut().try_withdraw(service));
            match chosen {
                Some((to, service)) => {
                    let now = gateway.clock.now();
                    if !paid {
                        gateway.budget.borrow_mut().deposit(
                            &gateway.budget_rule(),
                            &service,
                            gateway.data_nodes(),
                        );
                    }
                    doubt =
                        attempts.doubt_after(to.expected).map(|after| gateway.clock.instant_at(now + after));
                    attempts.begins();
                    if attempts.doubt_after(0.0).is_none() {
                        doubt = None;
                    }
                    selection.tried.push(to.key);
                    gateway.balancer.borrow_mut().attempt_started(now, to.key, selection.goal);
                    let order = HandOff { to, service, until, outgoing: outgoing.clone() };
                    spawn_local(carry(gateway.clone(), order, sender.clone()));
                }
                None if attempts.waits() => doubt = None,
                None => return finally(attempts.no_more()),
            }
        }
        let doubted = doubt.unwrap_or_else(|| Instant::now() + Duration::from_secs(3600));
        tokio::select! {
            biased;
            _ = client.departed(), if !departed => {
                (departed, doubt) = (true, None);
                let last = selection.abandoned(attempts.no_more());
                // A run that may not be repeated goes on, and its answer may still be read.
                if outgoing.repeatable || !attempts.waits() {
                    return last;
                }
            }
            outcome = outcomes.recv() => {
                let Some(Outcome { came, reply }) = outcome else { return finally(attempts.no_more()) };
                let how = came.ended(outgoing.repeatable);
                let left = if client.has_departed() { 0.0 } else { selection.until - gateway.clock.now() };
                match attempts.ended(how, left) {
                    Next::Relay => match reply {
                        Some(reply) => return relayed(reply),
                        None => return finally(attempts.no_more()),
                    },
                    Next::Again { paid: costs } => (go, paid) = (true, costs),
                    Next::Wait => {}
                    Next::GiveUp(last) => return finally(last),
                }
            }
            _ = sleep_until(doubted), if doubt.is_some() => (go, paid, doubt) = (true, true, None),
        }
    }
}
