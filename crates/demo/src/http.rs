//! As much of HTTP/1.1 as the stand-ins and clients need: messages with a `Content-Length`, no chunked bodies.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for a connection, and for a response: longer than any timeout in the sample configuration (3 s).
const TIMEOUT: Duration = Duration::from_secs(5);

/// A request or a response.
pub struct HttpMessage {
    /// Request line or status line.
    pub start_line: String,
    /// Headers by name in lower case; of a repeated header the last.
    pub headers: HashMap<String, String>,
    /// The body as text.
    pub body: String,
}

impl HttpMessage {
    /// A header by its name in lower case; empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// A response's status; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The next message on a connection; none where it ends, or is no message.
    pub(crate) fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let start_line = read_line(from)?;
        let mut headers = HashMap::new();
        while let Some((name, value)) = read_line(from).as_deref().and_then(|line| line.split_once(':')) {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        Some(HttpMessage { start_line, headers, body: String::from_utf8(body).ok()? })
    }
}

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = from.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_string())
}

/// Sends raw bytes and reads one response; none where the connection ends without one.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    HttpMessage::read(&mut BufReader::new(stream))
}

/// Sends a request on a connection of its own; none where that ends without a response.
pub fn send(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<HttpMessage> {
    let lines: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!("{method} {target} HTTP/1.1\r\nConnection: close\r\n{lines}{length}\r\n{body}");
    exchange(to, text.as_bytes())
}
