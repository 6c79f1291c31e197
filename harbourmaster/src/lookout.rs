//! The lookout's duty: asks the platform which hosts there are while this gateway holds it, and gives what changed to the
//! core. Owns the platform's protocol. Must never ask when another holds the duty, or faster than the platform takes.

use crate::port::Port;
use chart::seconds;
use fairway::plain::{CallerSide, Sending};
use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
use signal::{Duty, HostLine, Hosts};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Between two lists: a few fit into the time that a drain may take to be known.
const EVERY: Duration = Duration::from_millis(550);
const WITHIN: Duration = Duration::from_millis(1200);
/// Between two looks whether the duty is held.
const IDLE: Duration = Duration::from_millis(100);
const MOST_BODY: usize = 4 << 20;
/// Pages of one list; the platform pages by fifty.
const MOST_PAGES: usize = 200;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Page {
    instances: Vec<Instance>,
    next_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    capacity: Option<f64>,
    operating_state: String,
    cold_left: Option<String>,
}

type Line = Framed<TcpStream, CallerSide>;

async fn open(cloud: SocketAddr) -> io::Result<Line> {
    let stream = TcpStream::connect(cloud).await?;
    mooring::tune(&stream);
    Ok(Framed::new(stream, CallerSide::new(&[], MOST_BODY, Rc::new(Cell::new(MOST_BODY)))))
}

async fn page(line: &mut Line, cloud: SocketAddr, token: Option<&str>) -> io::Result<Page> {
    let target = token.map_or("/instances".to_string(), |token| format!("/instances?PageToken={token}"));
    let host = cloud.to_string();
    line.send(Sending { method: "GET", target: &target, host: &host, lines: b"", body: b"" }).await?;
    let reply = line.next().await.unwrap_or(Err(io::ErrorKind::UnexpectedEof.into()))?;
    match reply.status {
        200 => serde_json::from_slice(&reply.body).map_err(io::Error::other),
        status => Err(io::Error::other(format!("the platform answered {status}"))),
    }
}

async fn list(line: &mut Line, cloud: SocketAddr) -> io::Result<Vec<HostLine>> {
    let (mut lines, mut token) = (Vec::new(), None);
    for _ in 0..MOST_PAGES {
        let Page { instances, next_token } = page(line, cloud, token.as_deref()).await?;
        lines.extend(instances.into_iter().map(|one| HostLine {
            id: one.instance_id,
            service: one.service,
            address: one.address,
            zone: one.zone,
            capacity: one.capacity.unwrap_or(1.0).clamp(1.0, 1e6) as u32,
            draining: one.operating_state != "available",
            cold_for: one.cold_left.as_deref().and_then(seconds).unwrap_or(0.0) as f32,
        }));
        token = next_token;
        if token.is_none() {
            break;
        }
    }
    lines.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(lines)
}

/// The same hosts, and none turned cold: a cold time that runs out is counted down by those that were told of it.
fn nothing_new(before: &[HostLine], lines: &[HostLine]) -> bool {
    let same = |a: &HostLine, b: &HostLine| {
        a.id == b.id && a.address == b.address && a.draining == b.draining && b.cold_for <= a.cold_for
    };
    before.len() == lines.len() && before.iter().zip(lines).all(|(a, b)| same(a, b))
}

pub async fn watch(port: Rc<Port>) {
    let Some(cloud) = port.settings.cloud else { return };
    let mut line: Option<Line> = None;
    let mut seen: Vec<HostLine> = Vec::new();
    loop {
        let Some(term) = port.look(|control, now| control.duties.holds(now, Duty::Lookout)) else {
            (line, seen) = (None, Vec::new());
            sleep(IDLE).await;
            continue;
        };
        let asked = timeout(WITHIN, async {
            let mut open = match line.take() {
                Some(line) => line,
                None => open(cloud).await?,
            };
            let lines = list(&mut open, cloud).await?;
            Ok::<_, io::Error>((open, lines))
        });
        match asked.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok((open, lines)) => {
                line = Some(open);
                if !nothing_new(&seen, &lines) {
                    seen = lines.clone();
                    let version = port.look(|control, _| {
                        let before = control.hosts();
                        if before.term == term.term { before.version + 1 } else { 1 }
                    });
                    log::info!("{} hosts in list {}.{version}", lines.len(), term.term);
                    port.step(|control, now| control.list(now, Hosts { term: term.term, version, lines }));
                    port.tell_sessions();
                } else {
                    seen.iter_mut().zip(lines).for_each(|(seen, line)| seen.cold_for = line.cold_for);
                }
            }
            Err(e) => log::warn!("no list from the platform: {e}"),
        }
        sleep(EVERY).await;
    }
}
