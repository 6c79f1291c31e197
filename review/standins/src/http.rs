//! A small HTTP/1.1 message reader and a client that sends one request on a connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` if the connection ends before it is whole.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message { start_line: read_line(reader)?, ..Message::default() };
        loop {
            let line = read_line(reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// The value of a header, empty if there is none. `name` is in lower case.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    Some(line.trim_end().to_string())
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects; a new connection is given a second to come up.
    pub fn open(to: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Writes a request.
    pub fn send(&mut self, method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        if method != "GET" || !body.is_empty() {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Reads the answer, within `timeout`.
    pub fn receive(&mut self, timeout: Duration) -> Option<Message> {
        self.reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        Message::read(&mut self.reader)
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let mut connection = Connection::open(to).ok()?;
    connection.send(method, target, headers, body).ok()?;
    connection.receive(timeout)
}
