//! Fake hosts that answer, fail, hang or close their connections.

use super::{ms, read_message};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How a host responds to requests; probes are always answered with 200.
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
    /// Serves one connection at a time and declines requests on any further one.
    AllowsOneConnection,
}

/// What a host has observed.
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

/// Makes closing the stream reset the connection.
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
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream.try_clone().unwrap();
        loop {
            let (first_line, headers, mut body) = read_message(&mut reader)?;
            if first_line.contains("/alive") {
                writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
                continue;
            }
            observed.heads.lock().unwrap().push((first_line, headers));
            if body.is_empty() {
                body = b"found".to_vec();
            }
            let behavior = *behavior.lock().unwrap();
            if behavior == HostBehavior::AnswersLarge {
                body = (0..400_000).map(|n| (n % 251) as u8).collect();
            }
            Host::reply(behavior, &body, &stream, &mut reader, &mut writer, observed)?;
        }
    }

    /// Replies to a request; returns `None` if the connection ends with the reply.
    fn reply(
        behavior: HostBehavior,
        body: &[u8],
        stream: &TcpStream,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
        observed: &Observed,
    ) -> Option<()> {
        let reply = |status: &str| [head(status, body.len()).as_bytes(), body].concat();
        match behavior {
            HostBehavior::Answers | HostBehavior::AnswersLarge => {
                writer.write_all(&reply("200 OK\r\nSrv-Load: util=0.5,latency_ms=7")).ok()
            }
            HostBehavior::ReportsMoreUnits => writer.write_all(&reply("200 OK\r\nSrv-Units: 4")).ok(),
            HostBehavior::AllowsOneConnection if observed.open.load(Ordering::SeqCst) > 1 => {
                writer.write_all(&reply("503 Busy\r\nSrv-Declined: 1\r\nConnection: close")).ok();
                None
            }
            HostBehavior::AnswersSlowly | HostBehavior::AllowsOneConnection => {
                sleep(ms(400));
                writer.write_all(&reply("200 OK")).ok()
            }
            HostBehavior::AnswersChunked => Host::reply_chunked(body, writer),
            HostBehavior::AnswersUntilClose => {
                writer.write_all(&[b"HTTP/1.1 200 OK\r\n\r\n", body].concat()).ok();
                None
            }
            HostBehavior::ClosesAfterReply => {
                writer.write_all(&reply("200 OK")).ok();
                None
            }
            HostBehavior::Declines => writer.write_all(&reply("503 Busy\r\nSrv-Declined: 1")).ok(),
            HostBehavior::Fails => writer.write_all(&reply("500 Error")).ok(),
            HostBehavior::Hangs => reader.read(&mut [0]).ok().filter(|length| *length > 0).map(drop),
            HostBehavior::StopsMidReply => {
                writer.write_all(&[head("200 OK", 50).as_bytes(), b"part"].concat()).ok()
            }
            HostBehavior::RepliesGarbage => writer.write_all(b"what is this?\r\n\r\n").ok(),
            HostBehavior::ResetsOnAccept | HostBehavior::ResetsAfterRequest => {
                reset_on_close(stream);
                None
            }
            HostBehavior::ResetsMidReply => {
                writer.write_all(&[head("200 OK", 50).as_bytes(), b"part"].concat()).ok()?;
                sleep(ms(20));
                reset_on_close(stream);
                None
            }
        }
    }

    fn reply_chunked(body: &[u8], writer: &mut TcpStream) -> Option<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        // About 500 chunks at most: 20,000 writes sometimes took longer than a latency target.
        for chunk in body.chunks(3.max(body.len() / 500)) {
            writer.write_all(&[format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat()).ok()?;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }

    /// Returns the number of requests received so far.
    pub fn request_count(&self) -> usize {
        self.observed.heads.lock().unwrap().len()
    }
}
