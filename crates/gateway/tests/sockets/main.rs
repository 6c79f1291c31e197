//! The program itself, started against stand-ins for hosts, the counter and discovery, and spoken to over sockets.
//! Everything is on loopback; times are far from any bound, so that a slow machine changes no verdict.

mod clients;
mod counters;
mod hand_offs;
mod lists;
mod process;

use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Waits for what has to come about.
fn until(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < PATIENCE, "never came: {what}");
        sleep(ms(5));
    }
}

/// One HTTP message: its first line, headers and body; `None` where the connection ends.
fn message(from: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut line = || {
        let mut text = String::new();
        from.read_line(&mut text).ok().filter(|n| *n > 0).map(|_| text.trim_end().to_string())
    };
    let first = line()?;
    let mut headers = HashMap::new();
    while let Some((name, value)) = line()?.split_once(": ") {
        headers.insert(name.to_ascii_lowercase(), value.to_string());
    }
    let mut body = vec![0; headers.get("content-length").map_or(0, |n| n.parse().unwrap())];
    from.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

fn reset(stream: &TcpStream) {
    // Closing with bytes unread or with no linger sends a reset.
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

#[derive(Clone, Copy, PartialEq)]
enum How {
    Well,
    Chunked,
    ToEnd,
    Decline,
    Fail,
    Silent,
    ResetAtOnce,
    ResetAfterReading,
    ResetInTheAnswer,
    Nonsense,
    CloseAfterwards,
    Slow,
    Large,
    /// Tells that the inquiry counted three units more than was guessed.
    Dearer,
    Half,
    /// Holds one connection and turns what comes on any further one away.
    Limited,
}

#[derive(Default)]
struct Seen {
    connections: AtomicUsize,
    open: AtomicUsize,
    heads: Mutex<Vec<(String, HashMap<String, String>)>>,
}

struct Host {
    address: SocketAddr,
    how: Arc<Mutex<How>>,
    seen: Arc<Seen>,
}

impl Host {
    fn start(how: How) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Host {
            address: listener.local_addr().unwrap(),
            how: Arc::new(Mutex::new(how)),
            seen: Arc::new(Seen::default()),
        };
        let (how, seen) = (host.how.clone(), host.seen.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (how, seen) = (how.clone(), seen.clone());
                spawn(move || {
                    seen.connections.fetch_add(1, Ordering::SeqCst);
                    seen.open.fetch_add(1, Ordering::SeqCst);
                    Host::serve(stream, &how, &seen);
                    seen.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        host
    }

    fn serve(stream: TcpStream, how: &Mutex<How>, seen: &Seen) -> Option<()> {
        if *how.lock().unwrap() == How::ResetAtOnce {
            reset(&stream);
            return None;
        }
        let mut from = BufReader::new(stream.try_clone().unwrap());
        let mut to = stream.try_clone().unwrap();
        loop {
            let (first, headers, mut body) = message(&mut from)?;
            if first.contains("/alive") {
                to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
                continue;
            }
            seen.heads.lock().unwrap().push((first, headers));
            if body.is_empty() {
                body = b"found".to_vec();
            }
            let how = *how.lock().unwrap();
            if how == How::Large {
                body = (0..400_000).map(|n| (n % 251) as u8).collect();
            }
            let sized = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
            let whole = |status: &str| [sized(status).as_bytes(), &body].concat();
            match how {
                How::Well | How::Large => {
                    to.write_all(&whole("200 OK\r\nSrv-Load: util=0.5,latency_ms=7")).ok()?
                }
                How::Dearer => to.write_all(&whole("200 OK\r\nSrv-Units: 4")).ok()?,
                How::Limited if seen.open.load(Ordering::SeqCst) > 1 => {
                    return to.write_all(&whole("503 Busy\r\nSrv-Declined: 1\r\nConnection: close")).ok();
                }
                How::Slow | How::Limited => {
                    sleep(ms(400));
                    to.write_all(&whole("200 OK")).ok()?;
                }
                How::Chunked => {
                    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
                    // Some 500 pieces at most: twenty thousand writes took longer than a goal at times.
                    for piece in body.chunks(3.max(body.len() / 500)) {
                        to.write_all(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat())
                            .ok()?;
                    }
                    to.write_all(b"0\r\n\r\n").ok()?;
                }
                How::ToEnd => return to.write_all(&[b"HTTP/1.1 200 OK\r\n\r\n", &body[..]].concat()).ok(),
                How::CloseAfterwards => return to.write_all(&whole("200 OK")).ok(),
                How::Decline => to.write_all(&whole("503 Busy\r\nSrv-Declined: 1")).ok()?,
                How::Fail => to.write_all(&whole("500 Error")).ok()?,
                How::Silent => drop(from.read(&mut [0]).ok().filter(|n| *n > 0)?),
                How::Half => to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart").ok()?,
                How::Nonsense => to.write_all(b"what is this?\r\n\r\n").ok()?,
                How::ResetAtOnce | How::ResetAfterReading => {
                    reset(&stream);
                    return None;
                }
                How::ResetInTheAnswer => {
                    to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart").ok()?;
                    sleep(ms(20));
                    reset(&stream);
                    return None;
                }
            }
        }
    }

    fn got(&self) -> usize {
        self.seen.heads.lock().unwrap().len()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Count {
    Well,
    Silent,
    Busy,
    /// The first answer comes far too late, with a total that refuses whoever it is handed to.
    FirstLate,
    /// The first connection answers twice, and then nothing more.
    Mute,
    /// Every third answer has no number, and its connection is of no further use.
    Spoilt,
}

fn counter(how: Count) -> (SocketAddr, Arc<AtomicUsize>) {
    counter_at("127.0.0.1:0".parse().unwrap(), how)
}

fn counter_at(address: SocketAddr, how: Count) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(address).unwrap();
    let (address, calls) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let (totals, counted) = (Arc::new(Mutex::new(HashMap::<String, f64>::new())), calls.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (totals, counted) = (totals.clone(), counted.clone());
            spawn(move || -> Option<()> {
                let mut to = stream.try_clone().ok()?;
                let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
                loop {
                    let words: usize = lines.next()?.strip_prefix('*')?.parse().ok()?;
                    let words: Vec<String> = (0..words).filter_map(|_| lines.nth(1)).collect();
                    if words[0] == "PING" {
                        to.write_all(b"+PONG\r\n").ok()?;
                        continue;
                    }
                    assert_eq!((words[0].as_str(), words.len()), ("INCRTTL", 4));
                    assert!(words[1].len() <= 64 && words[3].parse::<u64>().unwrap() >= 1);
                    let nth = counted.fetch_add(1, Ordering::SeqCst);
                    let mut total = {
                        let mut totals = totals.lock().unwrap();
                        let total = totals.entry(words[1].clone()).or_default();
                        *total += words[2].parse::<f64>().unwrap();
                        *total
                    };
                    match how {
                        Count::Silent => continue,
                        Count::Busy => {
                            to.write_all(b"-BUSY\r\n").ok()?;
                            continue;
                        }
                        Count::Mute if nth == 2 => return lines.find(|_| false).map(drop),
                        Count::Spoilt if nth % 3 == 2 => {
                            let noise: [&[u8]; 3] = [b"+what\r\n", b"\r\n", b"$3\r\nabc\r\n"];
                            to.write_all(noise[nth / 3 % 3]).ok()?;
                            return lines.find(|_| false).map(drop);
                        }
                        Count::FirstLate if nth == 0 => {
                            sleep(ms(300));
                            total = 1e6;
                        }
                        _ => {}
                    }
                    let total = total.to_string();
                    to.write_all(format!("${}\r\n{total}\r\n", total.len()).as_bytes()).ok()?;
                }
            });
        }
    });
    (address, calls)
}

/// Discovery: the lines it has said, which each new watch hears from the version it names on, and what was asked.
#[derive(Clone, Default)]
struct List {
    said: Arc<Mutex<Vec<(u64, String)>>>,
    asked: Arc<Mutex<Vec<String>>>,
    breaks: Arc<AtomicUsize>,
    mute: Arc<AtomicBool>,
    /// Turns each new watch away at once.
    refuses: Arc<AtomicBool>,
    /// Ends each watch in the middle of its first news.
    tears: Arc<AtomicBool>,
}

impl List {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, list) = (listener.local_addr().unwrap(), self.clone());
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let list = list.clone();
                spawn(move || -> Option<()> {
                    let (first, ..) = message(&mut BufReader::new(stream.try_clone().ok()?))?;
                    let mut after: u64 = first.split("after=").nth(1)?.split(' ').next()?.parse().ok()?;
                    list.asked.lock().unwrap().push(first);
                    if list.refuses.load(Ordering::SeqCst) {
                        return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").ok();
                    }
                    let breaks = list.breaks.load(Ordering::SeqCst);
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
                    while list.breaks.load(Ordering::SeqCst) == breaks {
                        if list.mute.load(Ordering::SeqCst) {
                            sleep(ms(20));
                            continue;
                        }
                        let news: Vec<_> =
                            list.said.lock().unwrap().iter().filter(|l| l.0 > after).cloned().collect();
                        for (version, line) in news {
                            after = version;
                            if list.tears.load(Ordering::SeqCst) {
                                let half = &line[..line.len() / 2];
                                return write!(stream, "{:x}\r\n{half}\r\n", half.len()).ok();
                            }
                            write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
                        }
                        stream.write_all(b"1\r\n\n\r\n").ok()?;
                        sleep(ms(20));
                    }
                    None
                });
            }
        });
        address
    }

    fn say(&self, version: u64, whole: bool, entries: &[Value]) {
        let line = json!({"version": version, "full": whole, "servers": entries}).to_string();
        self.said.lock().unwrap().push((version, line));
    }
}

fn entry(n: usize, host: &Host, state: &str) -> Value {
    json!({"id": format!("s-{n}"), "addr": host.address.to_string(), "zone": "a", "kind": "k", "cell": n,
        "state": state, "weight": 1.0, "started_ms": 0})
}

struct Gateway {
    child: Child,
    address: SocketAddr,
    list: List,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn configuration(counter: SocketAddr, discovery: SocketAddr, hosts: &[Host]) -> Value {
    let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let lane = |name: &str, effect: &str, scope: &str| {
        json!({"name": name, "on-time-us": 300_000, "deadline-us": 3_000_000, "effect": effect,
            "key-scope": scope, "memory-span-us": 10_000_000, "late-share": 1})
    };
    let entries: Vec<Value> = hosts.iter().enumerate().map(|(n, h)| entry(n, h, "ready")).collect();
    json!({"name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "counter": counter.to_string(), "seed": "92094eb940cf389a", "peers": [],
        "known": {"version": 1, "full": true, "servers": entries},
        "settings": {
            "classes": [lane("look", "pure", "all"), lane("file", "token", "cell"), lane("pay", "side_effect", "all")],
            "contracts": [{"name": "team", "rate": 1000.0, "burst": 1000.0, "max-out": 0}, {"name": "tiny", "rate": 0.1, "burst": 2.0}],
            "peers-total": 1, "zones": ["a"], "kinds": ["k"], "discovery": "automatic",
            "telemetry": {"fields": ["busy", "lat_ms"], "how": "piggyback"},
            "domain": {"may-count": true, "counter-timeout-us": 30_000, "most-units": 4},
            "limits": {"max-attempts": 3, "second-copies": true, "may-cancel": true, "probes": true,
                "retry-after": true, "max-retry-after-us": 500_000, "idle-close-us": 5_000_000},
            "obligations": {"drain-grace-us": 250_000, "cold-from": 0.2, "warm-up-us": 15_000_000,
                "tip-multiple": 4.0, "overload-for-us": 2_000_000}}})
}

fn file(name: &str, text: &str) -> std::path::PathBuf {
    let file = std::env::temp_dir().join(format!("archlink-{}-{name}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}

fn program(name: &str, configuration: &Value) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_archlink-gateway"));
    command.env("LB_CONFIG", file(name, &configuration.to_string())).stderr(Stdio::piped());
    command.env("LB_DISCOVERY", configuration["discovery"].as_str().unwrap());
    command
}

fn gateway(name: &str, count: Count, hosts: &[Host]) -> Gateway {
    gateway_at(name, counter(count).0, hosts)
}

fn gateway_at(name: &str, counter: SocketAddr, hosts: &[Host]) -> Gateway {
    let list = List::default();
    let configuration = configuration(counter, list.start(), hosts);
    start(name, &configuration, list)
}

fn start(name: &str, configuration: &Value, list: List) -> Gateway {
    let address = configuration["listen"].as_str().unwrap().parse().unwrap();
    let child = program(name, configuration).stderr(Stdio::null()).spawn().unwrap();
    let gateway = Gateway { child, address, list };
    until("up", || TcpStream::connect(address).is_ok_and(|s| say(s, b"GET /up HTTP/1.1\r\n\r\n").0 == 200));
    gateway
}

fn say(mut stream: TcpStream, bytes: &[u8]) -> (u16, Vec<u8>) {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(bytes).ok();
    let Some((first, _, body)) = message(&mut BufReader::new(stream)) else { return (0, Vec::new()) };
    (first.split(' ').nth(1).unwrap().parse().unwrap(), body)
}

/// An id that no inquiry has had, for asking until something has come about.
fn fresh() -> u32 {
    static NEXT: AtomicUsize = AtomicUsize::new(1_000_000);
    NEXT.fetch_add(1, Ordering::SeqCst) as u32
}

fn look(id: u32) -> Vec<u8> {
    inquiry("GET", "look", "team", id, 2.5, b"")
}

fn inquiry(verb: &str, lane: &str, plan: &str, id: u32, patience: f64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{verb} /{lane}/x?customer=0000000000000007&y=1 HTTP/1.1\r\nHost: api\r\nReq-Id: {id:016x}\r\nX-Tariff: {plan}\r\n\
         Req-Deadline: {patience}\r\nIdempotency-Key: key-{id}\r\nX-Weight: units=1,spread=1,first=0\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

impl Gateway {
    fn ask(&self, bytes: &[u8]) -> (u16, Vec<u8>) {
        say(TcpStream::connect(self.address).unwrap(), bytes)
    }
    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
    fn resident_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
    fn signal(&self, signal: Signal) {
        rustix::process::kill_process(rustix::process::Pid::from_child(&self.child), signal).unwrap();
    }
}
