//! The headers that concern framing and the connection, and the header lines that are forwarded.

use httparse::Header;

/// The framing of a message according to its headers, and the header lines for the next hop.
pub struct FramingHeaders {
    /// Value of `Content-Length`.
    pub length: Option<usize>,
    /// Whether the body is chunked.
    pub chunked: bool,
    /// Whether there is `Connection: close`.
    pub close: bool,
    /// Whether there is `Connection: keep-alive`.
    pub keep_alive: bool,
    /// The header lines that are forwarded, each with its CRLF.
    pub forwarded: Vec<u8>,
}

/// Headers that are never forwarded: they belong to one connection (RFC 9110, section 7.6.1), or are generated for the
/// next hop.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
];

/// Initial capacity in bytes for forwarded header lines: enough for typical messages.
const FORWARDED_CAPACITY: usize = 256;

/// Parses the framing headers. Headers that are neither hop-by-hop nor in `not_forwarded` are forwarded unchanged.
///
/// `None` if two parsers could frame the message differently, which allows request smuggling: an invalid length or two
/// different ones, a transfer coding other than a single `chunked`, or both a length and `chunked` (RFC 9112,
/// section 6.3).
pub fn framing_headers(headers: &[Header], not_forwarded: &[&str]) -> Option<FramingHeaders> {
    let mut framing = FramingHeaders {
        length: None,
        chunked: false,
        close: false,
        keep_alive: false,
        forwarded: Vec::with_capacity(FORWARDED_CAPACITY),
    };
    for header in headers {
        let is_named = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is_named("content-length") {
            let length = content_length(header.value)?;
            if framing.length.is_some_and(|earlier| earlier != length) {
                return None;
            }
            framing.length = Some(length);
        } else if is_named("transfer-encoding") {
            if framing.chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return None;
            }
            framing.chunked = true;
        } else if is_named("connection") {
            framing.read_connection_options(header.value);
        } else if !HOP_BY_HOP.iter().chain(not_forwarded).any(|name| is_named(name)) {
            framing.forward(header);
        }
    }
    if framing.chunked && framing.length.is_some() { None } else { Some(framing) }
}

impl FramingHeaders {
    fn read_connection_options(&mut self, value: &[u8]) {
        for option in value.split(|&byte| byte == b',') {
            self.close |= option.trim_ascii().eq_ignore_ascii_case(b"close");
            self.keep_alive |= option.trim_ascii().eq_ignore_ascii_case(b"keep-alive");
        }
    }

    fn forward(&mut self, header: &Header) {
        for part in [header.name.as_bytes(), b": ", header.value, b"\r\n"] {
            self.forwarded.extend_from_slice(part);
        }
    }
}

/// Parses a `Content-Length` of digits only. A number beyond `usize` becomes the largest one, since both
/// exceed every limit.
fn content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { Some(text.parse().unwrap_or(usize::MAX)) } else { None }
}

/// The trimmed value of a header that occurs exactly once: if there are several, parsers could disagree on which one
/// counts. `None` also if the value is not UTF-8.
pub fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let mut matching = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let (first, None) = (matching.next()?, matching.next()) else { return None };
    std::str::from_utf8(first.value).ok().map(str::trim)
}
