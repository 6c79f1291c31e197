//! Reads a client's request from its parsed head, in the terms of the settings.

use super::InvalidRequest::{self, Malformed};
use super::{ClientRequest, parse_number};
use crate::protocol::{IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_ID, X_TARIFF, X_WEIGHT};
use archlink_admission::interface::{AdmissionSettings, Effect, Request};
use archlink_admission_settings::ParsedSettings;
use archlink_http::frame::header;
use bytes::Bytes;
use httparse::Header;

/// Longest identifier of a request, in bytes.
const MAX_ID: usize = 256;
/// Longest customer number, in hexadecimal digits; and the first number that is out of range.
const MAX_CUSTOMER_DIGITS: usize = 16;
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Longest deadline, in seconds: no client waits a day, and a time must stay one that clocks can add.
const MAX_REMAINING: f64 = 86_400.0;

/// The request without its body; `forwarded` are the header lines that go on to the host.
pub fn parse_request(
    settings: &ParsedSettings,
    head: &httparse::Request,
    forwarded: Vec<u8>,
) -> Result<ClientRequest, InvalidRequest> {
    let target = head.path.unwrap_or("/");
    let class = parse_class(settings, target)?;
    let effect = settings.admission.classes[class].effect;
    let method = parse_method(effect, head.method)?;
    let plan = parse_plan(settings, head.headers)?;
    let customer = parse_customer(target)?;
    let field = |name| header(head.headers, name);
    let remaining = field(REQ_DEADLINE).and_then(parse_number).ok_or(Malformed)?;
    let id = field(REQ_ID).filter(|id| (1..=MAX_ID).contains(&id.len())).ok_or(Malformed)?;
    if effect == Effect::Deduplicated && field(IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
        return Err(Malformed);
    }
    let Weight { units, spread, first } = parse_weight(&settings.admission, head.headers)?;
    let remaining = remaining.min(MAX_REMAINING);
    let request = Request { id: 0, class, plan, customer, remaining, units, spread, first };
    Ok(ClientRequest {
        id: id.into(),
        request,
        method,
        target: target.to_string(),
        forwarded,
        body: Bytes::new(),
    })
}

/// The first part of the path names the request class.
fn parse_class(settings: &ParsedSettings, target: &str) -> Result<usize, InvalidRequest> {
    let path = target.split('?').next().unwrap_or(target);
    let class = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let index = settings.classes.iter().position(|name| name == class && !class.is_empty());
    index.ok_or(InvalidRequest::UnknownClass)
}

fn parse_method(effect: Effect, method: Option<&str>) -> Result<&'static str, InvalidRequest> {
    match (effect, method) {
        (Effect::Pure, Some("GET")) => Ok("GET"),
        (Effect::Deduplicated | Effect::Effectful, Some("POST")) => Ok("POST"),
        _ => Err(InvalidRequest::WrongMethod),
    }
}

fn parse_plan(settings: &ParsedSettings, headers: &[Header]) -> Result<usize, InvalidRequest> {
    let is_named = |name: &str| header(headers, X_TARIFF).is_some_and(|plan| plan == name);
    settings.plans.iter().position(|name| is_named(name)).ok_or(Malformed)
}

fn parse_customer(target: &str) -> Result<u64, InvalidRequest> {
    query_value(target, "customer")
        .filter(|digits| digits.len() <= MAX_CUSTOMER_DIGITS && !digits.starts_with('+'))
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .filter(|customer| *customer < CUSTOMER_LIMIT)
        .ok_or(Malformed)
}

struct Weight {
    units: f64,
    spread: u32,
    first: u32,
}

/// A value out of its range would charge the named customer for what others requested.
fn parse_weight(settings: &AdmissionSettings, headers: &[Header]) -> Result<Weight, InvalidRequest> {
    let text = match headers.iter().any(|h| h.name.eq_ignore_ascii_case(X_WEIGHT)) {
        true => header(headers, X_WEIGHT).ok_or(Malformed)?,
        false => "",
    };
    let units = list_value(text, "units").map_or(Some(1.0), parse_number);
    let units = units.filter(|n| *n > 0.0 && *n <= settings.max_units.max(1.0)).ok_or(Malformed)?;
    let integer = |name, default: u32| list_value(text, name).map_or(Some(default), |text| text.parse().ok());
    let spread = integer("spread", 1).filter(|n| (1..=settings.gateways).contains(n)).ok_or(Malformed)?;
    let first = integer("first", 0).filter(|n| *n < settings.gateways).ok_or(Malformed)?;
    Ok(Weight { units, spread, first })
}

/// The value of a query parameter that occurs once.
fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut found = query.split('&').filter_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let (first, None) = (found.next()?, found.next()) else { return None };
    Some(first.1)
}

/// A value of a list such as `units=2,spread=3,first=1`.
fn list_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(',')
        .find_map(|pair| pair.trim().split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, v)| v)
}
