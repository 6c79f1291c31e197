//! Connections between the system's own processes at a control gateway: one out to each other control gateway, and those
//! that come in, from control gateways, from data gateways' sessions and from those that count. Owns them and their bounds;
//! who may say what on one is `callers`'. Must never answer for the core: words go in, words come out.

use crate::node::Node;
use crate::peer_identity::{Caller, Speakers, Who};
use crate::read_settings;
use archlink_config::Settings;
use archlink_control_node::event_log::Event;
use archlink_messages::{Message, NodeId};
use archlink_runtime::{MessageSender, split_connection};
use futures_util::StreamExt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Words waiting on one connection; more than these means that the peer doesn't read.
const MOST_WORDS: usize = 256;
/// Between two calls of a control gateway that isn't reached.
const AGAIN: Duration = Duration::from_millis(250);
/// Between two looks at the seeds in the settings file while no majority answers.
const SEEDS_AGAIN: Duration = Duration::from_secs(2);
/// The first word on a connection that comes in is due by then.
const FIRST_WORD: Duration = Duration::from_secs(3);
const MOST_CONNECTIONS: usize = 2048;

/// Control gateways that are known, and the seeds.
fn known(port: &Node) -> Vec<NodeId> {
    let mut known: Vec<NodeId> =
        port.look(|control, _| control.event_log.registry.control_nodes().iter().map(|k| k.node).collect());
    known.extend(port.seeds.borrow().iter());
    known
}

/// Keeps a link to each of them.
pub async fn keep(port: Rc<Node>) {
    loop {
        for node in known(&port) {
            if node != port.me && !port.links.borrow().contains_key(&node) {
                let (out, words) = mpsc::channel(MOST_WORDS);
                port.links.borrow_mut().insert(node, out);
                spawn_local(link(port.clone(), node, words));
            }
        }
        sleep(AGAIN).await;
    }
}

/// Reads the seeds in the settings file anew while no majority answers: all that this gateway knew may have been replaced while
/// it was cut off.
pub async fn follow_seeds(port: Rc<Node>) {
    loop {
        sleep(SEEDS_AGAIN).await;
        if port.fresh() {
            continue;
        }
        match read_settings() {
            Ok(read) => port.seeds.replace(seeds(&read)),
            Err(e) => {
                log::warn!("settings: {}; the seeds stay", archlink_runtime::report_line(&e));
                continue;
            }
        };
    }
}

/// The control gateways that a settings file names.
pub fn seeds(settings: &Settings) -> Vec<NodeId> {
    settings.seeds.iter().map(|seed| archlink_runtime::node_id(*seed.ip())).collect()
}

/// The link to one control gateway, called again for as long as it is known.
async fn link(port: Rc<Node>, node: NodeId, mut words: mpsc::Receiver<Message>) {
    let to = archlink_runtime::node_address(node, port.settings.internal_port);
    while known(&port).contains(&node) {
        if let Ok(framed) = archlink_runtime::connect(to).await {
            let (out, mut source) = split_connection(framed, MOST_WORDS);
            // What waited for a link that was down is old.
            while words.try_recv().is_ok() {}
            let greeting = port.look(|control, _| control.peer_hello());
            let mut open = out.try_send(greeting).is_ok();
            while open {
                tokio::select! {
                    word = words.recv() => match word {
                        Some(word) => open = out.send(word).await.is_ok(),
                        None => return,
                    },
                    // The other side only ever ends it.
                    _ = source.next() => open = false,
                    _ = out.closed() => open = false,
                }
            }
        }
        sleep(AGAIN).await;
    }
    port.links.borrow_mut().remove(&node);
}

pub async fn listen(port: Rc<Node>, listener: TcpListener) {
    let open = Rc::new(());
    let speakers = Rc::new(RefCell::new(Speakers::default()));
    loop {
        match listener.accept().await {
            Ok((stream, from)) if Rc::strong_count(&open) <= MOST_CONNECTIONS => {
                let caller = Caller::new(&mut speakers.borrow_mut());
                spawn_local(serve(port.clone(), stream, from, (speakers.clone(), caller), open.clone()));
            }
            Ok(_) => log::warn!("a connection too many is closed"),
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(
    port: Rc<Node>,
    stream: TcpStream,
    from: SocketAddr,
    (speakers, mut caller): (Rc<RefCell<Speakers>>, Caller),
    _open: Rc<()>,
) {
    archlink_runtime::configure_stream(&stream);
    let (out, mut words) =
        split_connection(Framed::new(stream, archlink_messages::MessageCodec::default()), MOST_WORDS);
    let Ok(Some(first)) = timeout(FIRST_WORD, words.next()).await else { return };
    let mut next = Some(first);
    while let Some(word) = next {
        let told = word.map_err(|e| e.to_string());
        let taken = told.and_then(|word| {
            caller.says(&mut speakers.borrow_mut(), &word).map_err(str::to_string)?;
            heard(&port, &caller, &out, word).map_err(str::to_string)
        });
        if let Err(why) = taken {
            log::warn!("{from}: {why}; the connection ends");
            break;
        }
        next = words.next().await;
    }
    let last = caller.ends(&mut speakers.borrow_mut());
    if let (Some(Who::Pilot(node)), true) = (caller.who, last) {
        port.sessions.borrow_mut().remove(&node);
        port.step(|control, now| control.record_event(now, Event::SessionClosed(node)));
    }
}

/// Takes a word of a caller that may say it; an error ends the connection.
fn heard(port: &Node, caller: &Caller, out: &MessageSender, word: Message) -> Result<(), &'static str> {
    match (word, caller.who) {
        (Message::SessionHeartbeat { serial, data_node, clock, leases: terms }, _) => {
            port.sessions.borrow_mut().insert(data_node.node, out.clone());
            port.step(|control, now| {
                control.observe_clock(now, clock);
                terms.iter().for_each(|&grant| control.leases.learn_holder(now, 0, grant));
                control.record_event(now, Event::SessionRenewed(data_node))
            });
            // One that is lost is asked for again with the next hail, by another number.
            out.try_send(port.look(|control, now| control.heartbeat(now, serial))).ok();
        }
        (Message::CounterAdds { serial, term, clock, adds }, _) => {
            port.step(|control, now| {
                control.observe_clock(now, clock);
                Vec::new()
            });
            let totals = port.count(term, &adds);
            let clock = port.look(|control, now| control.cluster_clock(now));
            let answer = Message::CounterTotals { serial, clock, totals };
            out.try_send(answer).map_err(|_| "it does not read its totals")?;
        }
        (Message::UpdateRequest(theirs), Some(Who::Pilot(_))) => {
            let pieces = port.lacking(&theirs);
            if !pieces.is_empty() {
                out.try_send(Message::StateUpdates(pieces)).ok();
            }
        }
        (word, Some(Who::Keeper(node))) => port.hear(node, word),
        _ => return Err("not a word of its own"),
    }
    Ok(())
}
