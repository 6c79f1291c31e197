//! The sockets of a data gateway's session with a control gateway, and of its connection to the one that holds the counts.
//! Owns them; when to call, hail, pull and leave is `archlink_control_client::session`'s to say. Must never take an answer for a question
//! that it does not belong to.

use crate::gateway::Gateway;
use archlink_config::Settings;
use archlink_control_client::session::{LocalNode, Session, SessionAction};
use archlink_messages::{CounterAdd, Message, NodeId};
use archlink_quota::pending_calls::{CallResult, PendingCalls, ReplyMatch};
use archlink_runtime::{MessageSender, split_connection};
use futures_util::{Stream, StreamExt};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Between two calls of a holder of the counts that isn't reached.
const AGAIN: Duration = Duration::from_millis(100);
/// Without a session for so long the seeds in the settings file are read anew: all control gateways that this one knew may
/// have been replaced while it was cut off.
const SEEDS_AGAIN: Duration = Duration::from_secs(2);
const MOST_WORDS: usize = 256;

type Words = Pin<Box<dyn Stream<Item = io::Result<Message>>>>;

/// The control gateways that a settings file names.
fn seeds(settings: &Settings) -> Vec<NodeId> {
    settings.seeds.iter().map(|seed| archlink_runtime::node_id(*seed.ip())).collect()
}

/// The same of the file as it is now; none where it can't be read.
fn seeds_now() -> Option<Vec<NodeId>> {
    let text = archlink_runtime::settings_text().ok()?;
    Settings::read(&text).ok().map(|settings| seeds(&settings))
}

/// Keeps a session for as long as this process lives.
pub async fn keep(gateway: Rc<Gateway>) {
    let mut alone_since = Instant::now();
    let mut session = Session::new(LocalNode {
        node: archlink_runtime::node_id(gateway.settings.ip),
        zone: gateway.settings.zone.clone(),
        region: gateway.settings.region.clone(),
        seeds: seeds(&gateway.settings),
    });
    let mut line: Option<(MessageSender, Words)> = None;
    loop {
        if session.peer().is_some() {
            alone_since = Instant::now();
        } else if alone_since.elapsed() > SEEDS_AGAIN {
            alone_since = Instant::now();
            seeds_now().into_iter().for_each(|seeds| session.set_seeds(seeds));
        }
        let actions = session.tick(gateway.clock.now(), &gateway.views.borrow(), || gateway.data_node());
        perform(&gateway, &mut session, &mut line, actions).await;
        let until = gateway.clock.instant_at(session.wake_at().min(1e6));
        let word = async {
            match &mut line {
                Some((_, words)) => words.next().await,
                None => std::future::pending().await,
            }
        };
        let actions = tokio::select! {
            word = word => {
                let now = gateway.clock.now();
                match word {
                    Some(Ok(word)) => {
                        let (actions, turns) = session.step(now, word, &mut gateway.views.borrow_mut());
                        gateway.turn(turns);
                        actions
                    }
                    Some(Err(e)) => session.connection_lost(now, &e.to_string()),
                    None => session.connection_lost(now, "it closed the connection"),
                }
            }
            _ = sleep_until(until) => continue,
            _ = gateway.turned.notified() => {
                session.heartbeat_soon(gateway.clock.now());
                continue;
            }
        };
        perform(&gateway, &mut session, &mut line, actions).await;
    }
}

async fn perform(
    gateway: &Gateway,
    session: &mut Session,
    line: &mut Option<(MessageSender, Words)>,
    actions: Vec<SessionAction>,
) {
    let mut actions = std::collections::VecDeque::from(actions);
    while let Some(action) = actions.pop_front() {
        match action {
            SessionAction::Connect(node) => {
                let called = archlink_runtime::connect(archlink_runtime::node_address(
                    node,
                    gateway.settings.internal_port,
                ))
                .await;
                let called = called.map(|framed| {
                    let (out, words) = split_connection(framed, MOST_WORDS);
                    *line = Some((out, Box::pin(words)));
                });
                actions.extend(session.connected(gateway.clock.now(), called.map_err(|e| e.to_string())));
            }
            SessionAction::Disconnect => *line = None,
            SessionAction::Send(word) => {
                if line.as_ref().is_some_and(|(out, _)| out.try_send(word).is_err()) {
                    actions.extend(session.connection_lost(gateway.clock.now(), "it does not read"));
                }
            }
            SessionAction::Warn(text) => log::warn!("{text}"),
        }
    }
}

/// The connection to the holder of the counts, moved when that changes. Each question's answer names its number.
pub async fn count(gateway: Rc<Gateway>) {
    let mut frames = PendingCalls::default();
    loop {
        gateway.set_counted(false);
        let Some(holder) = gateway.counter() else {
            fail_adds(&gateway);
            pause(&gateway).await;
            continue;
        };
        match archlink_runtime::connect(archlink_runtime::node_address(
            holder.0,
            gateway.settings.internal_port,
        ))
        .await
        {
            Ok(framed) => {
                let (out, words) = split_connection(framed, MOST_WORDS);
                talk(&gateway, &mut frames, &out, Box::pin(words), holder).await;
                gateway.settled(frames.disconnected());
            }
            Err(_) => fail_adds(&gateway),
        }
        pause(&gateway).await;
    }
}

/// What can't be sent is not added.
fn fail_adds(gateway: &Gateway) {
    gateway.settled(vec![CallResult::NotAdded(gateway.adds())]);
}

async fn pause(gateway: &Gateway) {
    let until = Instant::now() + AGAIN;
    while timeout(until - Instant::now().min(until), gateway.to_count.notified()).await.is_ok() {
        fail_adds(gateway);
        if Instant::now() >= until {
            return;
        }
    }
}

/// Sends one question; false where the connection does not take it.
fn ask(
    gateway: &Gateway,
    frames: &mut PendingCalls,
    out: &MessageSender,
    term: u64,
    adds: Vec<CounterAdd>,
) -> bool {
    match frames.send(gateway.clock.now(), adds) {
        Ok((serial, adds)) => {
            let word =
                Message::CounterAdds { serial, term, clock: gateway.fleet_clock(), adds: adds.to_vec() };
            out.try_send(word).is_ok()
        }
        Err(unsent) => {
            gateway.settled(vec![unsent]);
            true
        }
    }
}

/// Asks and hears until the connection ends, another holds the counts, or this one is silent. What is out then is not
/// settled.
async fn talk(
    gateway: &Gateway,
    frames: &mut PendingCalls,
    out: &MessageSender,
    mut words: Words,
    (node, term): (NodeId, u64),
) {
    /// Between two questions of nothing, while the holder does not count yet.
    const PROBE_EVERY: Duration = Duration::from_millis(60);
    let mut probe = Some(Instant::now());
    while gateway.counter() == Some((node, term)) || !frames.is_empty() {
        let due = frames.times_out_at().map(|at| gateway.clock.instant_at(at));
        tokio::select! {
            word = words.next() => {
                let Some(Ok(Message::CounterTotals { serial, clock, totals })) = word else { return };
                gateway.heard_clock(clock);
                let (heard, settled) = frames.receive(gateway.clock.now(), serial, totals);
                gateway.settled(settled);
                match heard {
                    ReplyMatch::Answer { counts } => {
                        gateway.set_counted(counts);
                        probe = (!counts).then(|| Instant::now() + PROBE_EVERY);
                    }
                    ReplyMatch::Unmatched => log::warn!("totals to no question that is out: {serial}"),
                    ReplyMatch::Malformed => return log::warn!("totals that do not fit their question"),
                }
            }
            _ = gateway.to_count.notified() => {
                let adds = gateway.adds();
                if !adds.is_empty() && !ask(gateway, frames, out, term, adds) {
                    return;
                }
            }
            _ = sleep_until(probe.unwrap_or_else(Instant::now)), if probe.is_some() => {
                probe = None;
                if !ask(gateway, frames, out, term, Vec::new()) {
                    return;
                }
            }
            _ = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => return,
            _ = gateway.turned.notified() => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use archlink_control_client::fleet_view::FleetView;
    use archlink_messages::{
        AcceptedValue, DataNode, Heartbeat, HostList, LeaseGrant, Register, SingletonRole, StateUpdate,
        VersionVector, patch,
    };
    use std::net::{Ipv4Addr, SocketAddrV4};

    const LEASE: f64 = 3.0;

    fn data_node() -> DataNode {
        let front = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
        DataNode { node: 1, zone: "z".into(), region: "r".into(), client_address: front, ready: true }
    }

    /// A hail's number.
    fn hail(session: &mut Session, views: &FleetView, now: f64) -> u64 {
        let actions = session.tick(now, views, data_node);
        let number = actions.iter().find_map(|action| match action {
            SessionAction::Send(Message::SessionHeartbeat { serial, .. }) => Some(*serial),
            _ => None,
        });
        number.unwrap_or_else(|| panic!("no hail at {now}: {actions:?}"))
    }

    fn call(session: &mut Session, views: &FleetView, now: f64) {
        assert!(matches!(session.tick(now, views, data_node)[..], [SessionAction::Connect(2)]));
        session.connected(now, Ok(()));
    }

    /// What a control gateway says when the fleet stands at the n-th of everything.
    fn words(n: u64, serial: u64) -> [Message; 2] {
        let lease = LeaseGrant { role: SingletonRole::QuotaCounter, holder: 10 + n as u32, term: n };
        let vector =
            VersionVector { configuration: n, evacuations: n, hosts: (1, n), ..VersionVector::default() };
        let (clock, confirmed) = (n as f64, Some(0.0));
        let beat = Heartbeat {
            serial,
            cluster_clock: clock,
            confirmed_age: confirmed,
            versions: vector,
            leases: vec![lease],
            voter_set: Default::default(),
            recovered: true,
            suspected: vec![],
        };
        let text = format!(
            r#"{{"ConfigVersion": "{n:08x}", "RouteTable": {{"ColumnNames": [], "Records": []}},
                "ServiceTable": {{"ColumnNames": [], "Records": []}}}}"#
        );
        let packed = patch::compress(text.as_bytes(), b"").unwrap().into();
        let value = format!("zone-{n}").into();
        let pieces = vec![
            StateUpdate::ConfigurationPatch { stamp: n, base: 0, packed },
            StateUpdate::Chosen(
                Register::Evacuations,
                AcceptedValue { revision: n, value, ..AcceptedValue::default() },
            ),
            StateUpdate::HostList(HostList { term: 1, version: n, instances: Vec::new() }),
        ];
        [Message::StateUpdates(pieces), Message::Heartbeat(beat)]
    }

    fn state(views: &FleetView, now: f64) -> String {
        let version = views.configuration().map(|configuration| configuration.version);
        format!(
            "{version:?} {:?} {:?} {}",
            views.versions(),
            views.counter_holder(),
            views.cluster_clock(now)
        )
    }

    /// Beats and news of before, doubled, in any order, on the session's own connection or on the next one, turn nothing
    /// back and vouch for nothing: a beat vouches once, for the hail whose number it names in the session that sent it.
    #[test]
    fn old_beats_and_news_turn_nothing_back_and_vouch_for_nothing() {
        let place = LocalNode { node: 1, zone: "z".into(), region: "r".into(), seeds: vec![2] };
        let (mut session, mut views) = (Session::new(place), FleetView::new(LEASE));
        call(&mut session, &views, 0.0);
        let mut old = Vec::new();
        for (n, at) in [(1, 0.0), (2, 0.5), (3, 1.0)] {
            let serial = hail(&mut session, &views, at);
            old.extend(words(n, serial));
            words(n, serial).into_iter().for_each(|word| drop(session.step(at, word, &mut views)));
        }
        let (late, before) = (1.0 + LEASE - 0.1, state(&views, 1.0));
        assert!(views.is_confirmed(late) && !views.is_confirmed(1.0 + LEASE));
        for round in 0..2 {
            let now = 1.2 + 0.4 * f64::from(round);
            if round == 1 {
                session.connection_lost(now, "reset");
                call(&mut session, &views, now + 0.2);
                hail(&mut session, &views, now + 0.2);
            }
            // Rotated and turned round: each word comes before and after each other one.
            for from in 0..old.len() {
                old.rotate_left(1);
                old.reverse();
                for word in &old {
                    session.step(now + 0.2 + 0.01 * from as f64, word.clone(), &mut views);
                    assert_eq!(state(&views, 1.0), before, "round {round}, {word:?}");
                }
            }
            assert!(!views.is_confirmed(1.0 + LEASE), "round {round}");
        }
    }
}
