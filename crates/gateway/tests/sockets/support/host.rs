//! Hosts that answer, fail, hang or break off.

use super::{ms, read_message};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What a host does with requests; it answers all probes.
#[derive(Clone, Copy, PartialEq)]
pub enum HostBehavior {
    Answers,
    AnswersChunked,
    AnswersUntilClose,
    AnswersSlowly,
    AnswersLarge,
    /// Reports that the request used three units more than expected.
    ReportsMoreUnits,
    Declines,
    Fails,
    Hangs,
    RepliesGarbage,
    StopsMidReply,
    ClosesAfterReply,
    ResetsOnAccept,
    ResetsAfterRequest,
    ResetsMidReply,
    /// Serves one connection, and declines what arrives on any further one.
    AllowsOneConnection,
}

/// What a host has seen.
#[derive(Default)]
pub struct Observed {
    /// Connections accepted so far.
    pub connections: AtomicUsize,
    /// Connections open now.
    pub open: AtomicUsize,
    /// First line and headers of each request.
    pub heads: Mutex<Vec<(String, HashMap<String, String>)>>,
}

pub struct Host {
    pub address: SocketAddr,
    pub behavior: Arc<Mutex<HostBehavior>>,
    pub observed: Arc<Observed>,
}

/// Makes the close of the stream a reset.
fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

fn head(status: &str, length: usize) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n")
}

impl Host {
    pub fn start(behavior: HostBehavior) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Host {
            address: listener.local_addr().unwrap(),
            behavior: Arc::new(Mutex::new(behavior)),
            observed: Arc::new(Observed::default()),
        };
        let (behavior, observed) = (host.behavior.clone(), host.observed.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behavior, observed) = (behavior.clone(), observed.clone());
                spawn(move || {
                    observed.connections.fetch_add(1, Ordering::SeqCst);
                    observed.open.fetch_add(1, Ordering::SeqCst);
                    Host::serve(stream, &behavior, &observed);
                    observed.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        host
    }

    fn serve(stream: TcpStream, behavior: &Mutex<HostBehavior>, observed: &Observed) -> Option<()> {
        if *behavior.lock().unwrap() == HostBehavior::ResetsOnAccept {
            reset_on_close(&stream);
            return None;
        }
        let mut from = BufReader::new(stream.try_clone().unwrap());
        let mut to = stream.try_clone().unwrap();
        loop {
            let (first, headers, mut body) = read_message(&mut from)?;
            if first.contains("/alive") {
                to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
                continue;
            }
            observed.heads.lock().unwrap().push((first, headers));
            if body.is_empty() {
                body = b"found".to_vec();
            }
            let behavior = *behavior.lock().unwrap();
            if behavior == HostBehavior::AnswersLarge {
                body = (0..400_000).map(|n| (n % 251) as u8).collect();
            }
            Host::reply(behavior, &body, &stream, &mut from, &mut to, observed)?;
        }
    }

    /// `None` where the connection ends with it.
    fn reply(
        behavior: HostBehavior,
        body: &[u8],
        stream: &TcpStream,
        from: &mut BufReader<TcpStream>,
        to: &mut TcpStream,
        observed: &Observed,
    ) -> Option<()> {
        let reply = |status: &str| [head(status, body.len()).as_bytes(), body].concat();
        match behavior {
            HostBehavior::Answers | HostBehavior::AnswersLarge => {
                to.write_all(&reply("200 OK\r\nSrv-Load: util=0.5,latency_ms=7")).ok()
            }
            HostBehavior::ReportsMoreUnits => to.write_all(&reply("200 OK\r\nSrv-Units: 4")).ok(),
            HostBehavior::AllowsOneConnection if observed.open.load(Ordering::SeqCst) > 1 => {
                to.write_all(&reply("503 Busy\r\nSrv-Declined: 1\r\nConnection: close")).ok();
                None
            }
            HostBehavior::AnswersSlowly | HostBehavior::AllowsOneConnection => {
                sleep(ms(400));
                to.write_all(&reply("200 OK")).ok()
            }
            HostBehavior::AnswersChunked => Host::reply_chunked(body, to),
            HostBehavior::AnswersUntilClose => {
                to.write_all(&[b"HTTP/1.1 200 OK\r\n\r\n", body].concat()).ok();
                None
            }
            HostBehavior::ClosesAfterReply => {
                to.write_all(&reply("200 OK")).ok();
                None
            }
            HostBehavior::Declines => to.write_all(&reply("503 Busy\r\nSrv-Declined: 1")).ok(),
            HostBehavior::Fails => to.write_all(&reply("500 Error")).ok(),
            HostBehavior::Hangs => from.read(&mut [0]).ok().filter(|n| *n > 0).map(drop),
            HostBehavior::StopsMidReply => {
                to.write_all(&[head("200 OK", 50).as_bytes(), b"part"].concat()).ok()
            }
            HostBehavior::RepliesGarbage => to.write_all(b"what is this?\r\n\r\n").ok(),
            HostBehavior::ResetsOnAccept | HostBehavior::ResetsAfterRequest => {
                reset_on_close(stream);
                None
            }
            HostBehavior::ResetsMidReply => {
                to.write_all(&[head("200 OK", 50).as_bytes(), b"part"].concat()).ok()?;
                sleep(ms(20));
                reset_on_close(stream);
                None
            }
        }
    }

    fn reply_chunked(body: &[u8], to: &mut TcpStream) -> Option<()> {
        to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        // Some 500 pieces at most: twenty thousand writes took longer than a latency target at times.
        for piece in body.chunks(3.max(body.len() / 500)) {
            to.write_all(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()).ok()?;
        }
        to.write_all(b"0\r\n\r\n").ok()
    }

    /// Requests received so far.
    pub fn request_count(&self) -> usize {
        self.observed.heads.lock().unwrap().len()
    }
}
