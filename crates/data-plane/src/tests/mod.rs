//! A data gateway before two hosts on loopback that do to their connections whatever hosts do. Nothing here sleeps: a host
//! waits for what the client has got, and silence ends with the request's own time.

mod answers;
mod departures;
mod status;

use crate::client::Client;
use crate::front::{self, Front, Stage};
use crate::gateway::Gateway;
use crate::{hand_off, request};
use archlink_config::Settings;
use archlink_control_client::fleet_view::Event;
use archlink_http::codec::{ClientCodec, HeaderValue, Request, Response};
use archlink_http::connection_pool::ConnectionPool;
use archlink_messages::{Heartbeat, HostInstance, HostList, StateUpdate, VersionVector, VoterSet, patch};
use archlink_runtime::Clock;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local, yield_now};

/// What a host does with the next request that comes to any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    Right,
    /// After an interim answer.
    Interim,
    /// Another request's answer before its own, or in one go with it.
    StrangerBefore,
    StrangerWith,
    /// Its answer a second time, once the client has it.
    Twice,
    /// Another request's answer, and no other.
    StrangerAlone,
    StrangerEnds,
    CutHead,
    CutBody,
    Closed,
    ResetUnread,
    ResetHalfRead,
    ResetRead,
    /// Once the client has its answer.
    ResetIdle,
    /// Its answer, once the client has given up.
    Late,
    Full,
    Elsewhere,
    Failed,
    /// 503, and no word that it did not run.
    Busy,
    /// Its answer, once it is let finish; breaks off where its connection ends before.
    Works,
}

use Habit::*;

const HABITS: [Habit; 19] = [
    Right,
    Interim,
    StrangerBefore,
    StrangerWith,
    Twice,
    StrangerAlone,
    StrangerEnds,
    CutHead,
    CutBody,
    Closed,
    ResetUnread,
    ResetHalfRead,
    ResetRead,
    ResetIdle,
    Late,
    Full,
    Elsewhere,
    Failed,
    Busy,
];

impl Habit {
    /// The client has a right to its answer.
    fn answers(self) -> bool {
        matches!(self, Right | Interim | StrangerBefore | StrangerWith | Twice | ResetIdle)
    }

    /// Nothing but a request and its answer was on the connection: it may be used again.
    fn clean(self) -> bool {
        matches!(self, Right | Interim | Full | Elsewhere | Failed | Busy | Works)
    }

    fn silent(self) -> bool {
        matches!(self, StrangerAlone | Late)
    }

    /// The host may have run the request.
    fn ran(self) -> bool {
        !matches!(self, Full | Elsewhere | ResetUnread)
    }
}

struct World {
    script: RefCell<VecDeque<Habit>>,
    /// Requests that a host has seen a part of and not declined, with the host.
    ran: RefCell<Vec<(String, usize)>>,
    wrong: RefCell<Vec<String>>,
    /// Requests that a host broke off as their connection ended.
    broken_off: RefCell<Vec<String>>,
    /// Leaves as soon as a host has read its request.
    leaver: RefCell<Option<Client>>,
    /// Rung when a host has read a request, and when it has broken one off.
    seen: Notify,
    /// Lets hosts finish their work.
    finish: Notify,
    /// Answers that the client has, and the bell for each.
    answered: Cell<usize>,
    bell: Notify,
}

fn reply(status: u16, id: &str, lines: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{lines}Content-Length: {length}\r\n\r\n{body}")
}

fn own(id: &str) -> String {
    reply(200, id, "Server-Seal: s\r\n", &format!("ran {id}"))
}

/// Reads one head, and the body but for its last part where `half`; its id, none where the connection ended before.
async fn read(stream: &mut TcpStream, half: bool) -> Option<String> {
    let (mut bytes, mut part) = (Vec::new(), [0; 16384]);
    loop {
        let count = stream.read(&mut part).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&part[..count]);
        let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_string();
        let field = |name: &str| head.lines().find_map(|line| Some(line.strip_prefix(name)?.to_string()));
        let length: usize = field("Content-Length: ").map_or(0, |text| text.parse().unwrap());
        if half || bytes.len() >= end + 4 + length {
            return field("Attempt-Id: ");
        }
    }
}

async fn connection(world: Rc<World>, host: usize, mut stream: TcpStream) -> Option<()> {
    let mut spoilt = false;
    loop {
        let next = world.script.borrow().front().copied().unwrap_or(Right);
        if next == ResetUnread && !spoilt {
            world.script.borrow_mut().pop_front();
            return stream.set_zero_linger().ok();
        }
        let (before, half) = (world.answered.get(), next == ResetHalfRead);
        let id = read(&mut stream, half).await?;
        let habit = world.script.borrow_mut().pop_front().unwrap_or(Right);
        if spoilt {
            world.wrong.borrow_mut().push(format!("{id} came on a connection that was not to be used again"));
        }
        if let Some(client) = world.leaver.take() {
            client.depart();
        }
        spoilt = !habit.clean();
        if habit.ran() {
            world.ran.borrow_mut().push((id.clone(), host));
        }
        world.seen.notify_one();
        if habit == Works && !works(&world, &mut stream).await {
            world.broken_off.borrow_mut().push(id);
            world.seen.notify_one();
            return None;
        }
        let say = match habit {
            Right | Twice | ResetIdle | Works => own(&id),
            Interim => format!("HTTP/1.1 100 Continue\r\n\r\n{}", own(&id)),
            StrangerBefore => own("zero") + &own(&id),
            StrangerWith => own(&id) + &own("zero"),
            StrangerAlone | StrangerEnds => own("zero"),
            CutHead => own(&id)[..30].to_string(),
            CutBody => own(&id)[..own(&id).len() - 2].to_string(),
            Closed | ResetUnread | ResetHalfRead | ResetRead | Late => String::new(),
            Full => reply(503, &id, "Not-Executed: 1\r\n", ""),
            Elsewhere => reply(421, &id, "", ""),
            Failed => reply(500, &id, "", ""),
            Busy => reply(503, &id, "", ""),
        };
        stream.write_all(say.as_bytes()).await.ok()?;
        if let Twice | ResetIdle | Late = habit {
            while world.answered.get() == before {
                world.bell.notified().await;
            }
        }
        match habit {
            Twice | Late => stream.write_all(own(&id).as_bytes()).await.ok()?,
            ResetHalfRead | ResetRead | ResetIdle => return stream.set_zero_linger().ok(),
            StrangerEnds | CutHead | CutBody | Closed => return None,
            _ => {}
        }
    }
}

/// Works until it is let finish; false where the connection ends before.
async fn works(world: &World, stream: &mut TcpStream) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        _ = stream.read(&mut byte) => false,
        _ = world.finish.notified() => true,
    }
}

async fn listen(world: Rc<World>, host: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(connection(world.clone(), host, stream));
    }
}

/// Two routes, and no tenants.
const OPEN: &str = r#"{"ConfigVersion": "00000001",
    "RouteTable": {"ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "MaxAttempts", "Service"],
        "Records": [["r", "o", "/read", "idempotent", 2, "s"], ["w", "o", "/write", "non_idempotent", 2, "s"]]},
    "ServiceTable": {"ColumnNames": ["Designation"], "Records": [["s"]]}}"#;

fn gateway(hosts: &[SocketAddr], configuration: &str) -> Rc<Gateway> {
    let settings = r#"{"NodeName": "a", "IpAddress": "127.0.0.1", "Zone": "west", "Region": "coast",
        "Zones": {"west": "coast"}, "Listen": {}, "InternalPorts": [7600], "SeedNodes": [], "FirstStart": false,
        "Limits": {"MemoryMb": 256, "FileDescriptors": 1024}, "Cloud": {"RatePerS": 1},
        "TimingBounds": ["RetryBudgetRatio=100,RetryBudgetSlack=100"]}"#;
    let room = Rc::new(Cell::new(64 << 20));
    let codec = move || ClientCodec::new(hand_off::READ, 1 << 20, room.clone());
    let gateway = Gateway::new(
        Settings::read(settings).unwrap(),
        Clock::start(),
        ConnectionPool::new(64, 5.0, 5.0, codec),
    );
    let line = |(n, at): (usize, &SocketAddr)| HostInstance {
        id: format!("host-{n}"),
        service: "s".into(),
        address: at.to_string().parse().unwrap(),
        zone: "west".into(),
        capacity: 4,
        draining: false,
        warm_up_seconds: 0.0,
    };
    let lines = hosts.iter().enumerate().map(line).collect();
    let packed = patch::compress(configuration.as_bytes(), b"").unwrap().into();
    for piece in [
        StateUpdate::ConfigurationPatch { stamp: 1, base: 0, packed },
        StateUpdate::DataNodes(vec![archlink_runtime::node_id([127, 0, 0, 1].into())]),
        StateUpdate::HostList(HostList { term: 1, version: 1, instances: lines }),
    ] {
        let turns = gateway.views.borrow_mut().append(gateway.clock.now(), Event::Update(piece));
        gateway.turn(turns);
    }
    // Without a majority's word no configuration is in force.
    let vector = VersionVector { configuration: 1, ..VersionVector::default() };
    let (leases, missing, voter_set) = (Vec::new(), Vec::new(), VoterSet::default());
    let beat = Heartbeat {
        serial: 1,
        cluster_clock: 0.0,
        confirmed_age: Some(0.0),
        versions: vector,
        leases,
        voter_set,
        recovered: true,
        suspected: missing,
    };
    let now = gateway.clock.now();
    let turns =
        gateway.views.borrow_mut().append(now, Event::Heartbeat { heartbeat: beat, requested_at: Some(now) });
    gateway.turn(turns);
    (0..2).for_each(|_| gateway.budget.borrow_mut().deposit(&gateway.budget_rule(), "s", 1));
    gateway
}

/// A whole request as the front hands it on. Silence takes `millis` at most.
async fn ask(gateway: &Rc<Gateway>, target: &str, id: &str, millis: u32, body: usize) -> Response {
    ask_as(gateway, target, id, millis, body, &Client::new()).await
}

async fn ask_as(
    gateway: &Rc<Gateway>,
    target: &str,
    id: &str,
    millis: u32,
    body: usize,
    client: &Client,
) -> Response {
    let once = |text: &str| HeaderValue::Once(text.into());
    let fields = vec![
        once(id),
        once(&millis.to_string()),
        HeaderValue::Absent,
        HeaderValue::Absent,
        HeaderValue::Absent,
    ];
    let (method, target, host) = ("POST".into(), target.into(), once("o"));
    let body = vec![b'x'; body].into();
    let request = Request { method, target, host, fields, forwarded: vec![], body, close: false, held: None };
    request::respond(gateway, request, client).await
}

/// Two hosts that do what the script says, and a data gateway before them.
fn world(script: &[Habit]) -> (Rc<World>, Rc<Gateway>) {
    world_of(script, OPEN)
}

fn world_of(script: &[Habit], configuration: &str) -> (Rc<World>, Rc<Gateway>) {
    let world = Rc::new(World {
        script: RefCell::new(script.iter().copied().collect()),
        ran: RefCell::default(),
        wrong: RefCell::default(),
        broken_off: RefCell::default(),
        leaver: RefCell::default(),
        seen: Notify::new(),
        finish: Notify::new(),
        answered: Cell::new(0),
        bell: Notify::new(),
    });
    let mut hosts = Vec::new();
    for n in 0..2 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(16384).unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let listener = socket.listen(8).unwrap();
        hosts.push(listener.local_addr().unwrap());
        spawn_local(listen(world.clone(), n, listener));
    }
    (world, gateway(&hosts, configuration))
}

fn run<F: Future<Output = ()> + 'static>(plays: impl IntoIterator<Item = F>, at_once: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut plays = plays.into_iter().peekable();
    while plays.peek().is_some() {
        LocalSet::new().block_on(&runtime, async {
            let played: Vec<_> = plays.by_ref().take(at_once).map(spawn_local).collect();
            for one in played {
                one.await.unwrap();
            }
        });
    }
}

/// The data gateway's clients' side on a socket of its own, for as long as the sender lives.
async fn front(gateway: Rc<Gateway>) -> (Rc<Front>, SocketAddr, watch::Sender<Stage>) {
    let (stage, stages) = watch::channel(Stage::Serving);
    let (room, open, at_work) = (Rc::new(Cell::new(1 << 20)), Cell::new(0), Cell::new(0));
    let front = Rc::new(Front { gateway, stage: stages, room, most: 8, open, at_work });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    spawn_local(front::listen(front.clone(), listener));
    (front, to, stage)
}
