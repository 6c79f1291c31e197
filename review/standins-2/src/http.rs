//! A small HTTP/1.1 client and message reader for the stand-ins.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. `Ok(None)` if the connection ended before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_string(), value.trim().to_string()));
        }
    }
    let mut message = Message { start: start.trim_end().to_string(), headers, body: Vec::new() };
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    Answered(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// The client stopped waiting.
    NoAnswer,
    NotConnected,
}

/// A call's end, the seconds that it took, and the answer.
pub struct Called {
    pub ended: Ended,
    pub took: f64,
    pub answer: Option<Message>,
}

/// A client's connection, which is kept for many requests.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }

    fn connected(&mut self) -> io::Result<&mut BufReader<TcpStream>> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        Ok(self.stream.as_mut().unwrap())
    }

    /// Sends one request and waits at most `wait` for its answer.
    pub fn call(&mut self, head: &str, body: &[u8], wait: Duration) -> Called {
        let begun = Instant::now();
        let took = |begun: Instant| begun.elapsed().as_secs_f64();
        let Ok(stream) = self.connected() else {
            return Called { ended: Ended::NotConnected, took: took(begun), answer: None };
        };
        stream.get_ref().set_read_timeout(Some(wait)).ok();
        let mut text = head.as_bytes().to_vec();
        text.extend_from_slice(body);
        let sent = stream.get_mut().write_all(&text);
        let answer = sent.and_then(|()| read_message(stream));
        let (ended, answer) = match answer {
            Ok(Some(answer)) => (Ended::Answered(answer.status()), Some(answer)),
            Ok(None) => (Ended::Cut, None),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                (Ended::NoAnswer, None)
            }
            Err(_) => (Ended::Cut, None),
        };
        let closes =
            answer.as_ref().is_none_or(|answer| answer.header("connection").eq_ignore_ascii_case("close"));
        if closes {
            self.stream = None;
        }
        Called { ended, took: took(begun), answer }
    }
}

/// One call on a connection of its own.
pub fn call(address: SocketAddr, head: &str, body: &[u8], wait: Duration) -> Called {
    Client::new(address).call(head, body, wait)
}
