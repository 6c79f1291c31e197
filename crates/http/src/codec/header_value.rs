//! The value of a header that the user of a codec asked for.

use crate::frame::header;
use httparse::Header;

/// What a message has under a header's name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum HeaderValue {
    /// No line.
    #[default]
    Absent,
    /// One line of text.
    Once(String),
    /// Several lines, or bytes that are not UTF-8: the next reader may understand it differently.
    Ambiguous,
}

impl HeaderValue {
    /// The text, if there is one line.
    pub fn once(&self) -> Option<&str> {
        if let HeaderValue::Once(text) = self { Some(text) } else { None }
    }

    pub(super) fn find(headers: &[Header], name: &str) -> HeaderValue {
        match header(headers, name) {
            Some(text) => HeaderValue::Once(text.to_string()),
            None if headers.iter().any(|header| header.name.eq_ignore_ascii_case(name)) => {
                HeaderValue::Ambiguous
            }
            None => HeaderValue::Absent,
        }
    }

    /// The values under all of `names`, in their order.
    pub(super) fn find_all(headers: &[Header], names: &[&str]) -> Vec<HeaderValue> {
        names.iter().map(|name| HeaderValue::find(headers, name)).collect()
    }
}
