//! A minimal HTTP/1.1 implementation for the stand-ins and clients: messages with a `Content-Length`, no chunked bodies.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of a connection attempt and of a response, longer than any timeout in the sample configuration (3 s).
const TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP request or response.
pub struct HttpMessage {
    /// Request line or status line.
    pub start_line: String,
    /// Headers by lower-case name; the last value of a repeated header.
    pub headers: HashMap<String, String>,
    /// The body as text.
    pub body: String,
}

impl HttpMessage {
    /// The value of a header by its lower-case name; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads the next message from a connection. Returns `None` if the connection ends or the message is invalid.
    pub(crate) fn read(reader: &mut impl BufRead) -> Option<HttpMessage> {
        let start_line = read_line(reader)?;
        let mut headers = HashMap::new();
        while let Some((name, value)) = read_line(reader).as_deref().and_then(|line| line.split_once(':')) {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(HttpMessage { start_line, headers, body: String::from_utf8(body).ok()? })
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_string())
}

/// Sends raw bytes and reads one response. Returns `None` if the connection ends without one.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    HttpMessage::read(&mut BufReader::new(stream))
}

/// Sends a request on a separate connection. Returns `None` if the connection ends without a response.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<HttpMessage> {
    let header_lines: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let length_line =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text =
        format!("{method} {target} HTTP/1.1\r\nConnection: close\r\n{header_lines}{length_line}\r\n{body}");
    exchange(address, text.as_bytes())
}
