//! The lookout's duty: asks the platform which hosts there are while this gateway holds it, and gives what changed to the
//! core. Owns the platform's protocol. Must never ask when another holds the duty, or faster than the platform takes.

use crate::node::Node;
use archlink_config::parse_seconds;
use archlink_http::codec::{ClientCodec, OutgoingRequest};
use archlink_http::connection_pool::{IdleState, idle_state};
use archlink_messages::{HostInstance, HostList, SingletonRole};
use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
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

type Line = Framed<TcpStream, ClientCodec>;

async fn open(cloud: SocketAddr) -> io::Result<Line> {
    let stream = TcpStream::connect(cloud).await?;
    archlink_runtime::configure_stream(&stream);
    Ok(Framed::new(stream, ClientCodec::new(&[], MOST_BODY, Rc::new(Cell::new(MOST_BODY)))))
}

/// Asks one question. The protocol has nothing that ties an answer to its question but their order: a connection that ended
/// or said anything unasked is not asked again, and an answer that more bytes follow may itself be an earlier question's.
/// Whoever stops waiting drops the connection with the question.
async fn page(kept: &mut Option<Line>, cloud: SocketAddr, token: Option<&str>) -> io::Result<Page> {
    let mut line = match kept.take().filter(|line| idle_state(line) == IdleState::Quiet) {
        Some(line) => line,
        None => open(cloud).await?,
    };
    let target = token.map_or("/instances".to_string(), |token| format!("/instances?PageToken={token}"));
    let host = cloud.to_string();
    line.send(OutgoingRequest { method: "GET", target: &target, host: &host, lines: b"", body: b"" }).await?;
    let reply = line.next().await.unwrap_or(Err(io::ErrorKind::UnexpectedEof.into()))?;
    match idle_state(&line) {
        IdleState::Spoke => return Err(io::Error::other("the platform said more than it was asked")),
        IdleState::Quiet if reply.keep => *kept = Some(line),
        _ => {}
    }
    match reply.status {
        200 => serde_json::from_slice(&reply.body).map_err(io::Error::other),
        status => Err(io::Error::other(format!("the platform answered {status}"))),
    }
}

async fn list(line: &mut Option<Line>, cloud: SocketAddr) -> io::Result<Vec<HostInstance>> {
    let (mut lines, mut token) = (Vec::new(), None);
    for _ in 0..MOST_PAGES {
        let Page { instances, next_token } = page(line, cloud, token.as_deref()).await?;
        lines.extend(instances.into_iter().map(|one| HostInstance {
            id: one.instance_id,
            service: one.service,
            address: one.address,
            zone: one.zone,
            capacity: one.capacity.unwrap_or(1.0).clamp(1.0, 1e6) as u32,
            draining: one.operating_state != "available",
            warm_up_seconds: one.cold_left.as_deref().and_then(parse_seconds).unwrap_or(0.0) as f32,
        }));
        token = next_token;
        if token.is_none() {
            // One that moved from page to page meanwhile is there twice: as the later page has it.
            lines.reverse();
            lines.sort_by(|a, b| a.id.cmp(&b.id));
            lines.dedup_by(|a, b| a.id == b.id);
            return Ok(lines);
        }
    }
    Err(io::Error::other("a list without end"))
}

/// The same hosts, and none turned cold: a cold time that runs out is counted down by those that were told of it.
fn nothing_new(before: &[HostInstance], lines: &[HostInstance]) -> bool {
    let same = |a: &HostInstance, b: &HostInstance| {
        a.id == b.id
            && a.address == b.address
            && a.draining == b.draining
            && b.warm_up_seconds <= a.warm_up_seconds
    };
    before.len() == lines.len() && before.iter().zip(lines).all(|(a, b)| same(a, b))
}

pub async fn watch(port: Rc<Node>) {
    let Some(cloud) = port.settings.platform else { return };
    let mut line: Option<Line> = None;
    let mut seen: Vec<HostInstance> = Vec::new();
    loop {
        let Some(term) =
            port.look(|control, now| control.leases.held_lease(now, SingletonRole::HostDiscovery))
        else {
            (line, seen) = (None, Vec::new());
            sleep(IDLE).await;
            continue;
        };
        let asked = timeout(WITHIN, list(&mut line, cloud)).await;
        match asked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(lines) => {
                if !nothing_new(&seen, &lines) {
                    seen = lines.clone();
                    let version = port.look(|control, _| {
                        let before = control.host_list();
                        if before.term == term.term { before.version + 1 } else { 1 }
                    });
                    log::info!("{} hosts in list {}.{version}", lines.len(), term.term);
                    port.step(|control, now| {
                        control.set_host_list(now, HostList { term: term.term, version, instances: lines })
                    });
                    port.tell_sessions();
                } else {
                    seen.iter_mut()
                        .zip(lines)
                        .for_each(|(seen, line)| seen.warm_up_seconds = line.warm_up_seconds);
                }
            }
            Err(e) => log::warn!("no list from the platform: {e}"),
        }
        sleep(EVERY).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    fn reply(id: &str, token: Option<&str>) -> String {
        let body = serde_json::json!({"Instances": [{"InstanceId": id, "Service": "s", "Address": "127.0.0.1:1",
            "Zone": "z", "Capacity": 1, "OperatingState": "available", "ColdLeft": null}], "NextToken": token});
        let body = body.to_string();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    /// A platform that says the next of these at each question, whichever connection it comes on.
    async fn platform(says: Vec<String>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        tokio::task::spawn(async move {
            let mut says = says.into_iter();
            let mut open = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut asked = [0; 4096];
                while stream.read(&mut asked).await.is_ok_and(|read| read > 0) {
                    let Some(text) = says.next() else { break };
                    if text.is_empty() {
                        break;
                    }
                    stream.write_all(text.as_bytes()).await.unwrap();
                }
                // Whoever asks on another connection was not answered on this one.
                open.push(stream);
            }
        });
        to
    }

    fn play<F: Future>(what: F) -> F::Output {
        tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(what)
    }

    async fn ids(line: &mut Option<Line>, cloud: SocketAddr) -> Option<String> {
        let lines = list(line, cloud).await.ok()?;
        Some(lines.into_iter().map(|line| line.id).collect::<Vec<_>>().join(" "))
    }

    /// Guards against an answer told twice becoming the next question's: then each list is one older than it seems, for as
    /// long as the connection stands, and a page of one list ends another.
    #[test]
    fn an_answer_told_twice_is_not_the_next_questions() {
        play(async {
            let twice = format!("{}{}", reply("old", None), reply("old", None));
            let cloud = platform(vec![twice, reply("new", None)]).await;
            let mut line = None;
            assert_eq!(ids(&mut line, cloud).await, None);
            assert_eq!(ids(&mut line, cloud).await.as_deref(), Some("new"));
            line = None;
            let twice = format!("{}{}", reply("a", Some("2")), reply("z", None));
            let cloud = platform(vec![twice, reply("a", Some("2")), reply("b", None)]).await;
            assert_eq!(ids(&mut line, cloud).await, None);
            assert_eq!(ids(&mut line, cloud).await.as_deref(), Some("a b"));
            line = None;
            let cloud = platform(vec![reply("a", Some("2")), reply("a", None)]).await;
            assert_eq!(ids(&mut line, cloud).await.as_deref(), Some("a"));
        });
    }

    /// One that is given up for its silence takes its connection along, and a list without end is none.
    #[test]
    fn a_list_given_up_leaves_no_connection_behind() {
        play(async {
            let cloud = platform(vec![String::new(), reply("new", None)]).await;
            let mut line = None;
            tokio::select! {
                biased;
                _ = list(&mut line, cloud) => panic!("nobody answered"),
                _ = async { for _ in 0..100 { tokio::task::yield_now().await } } => {}
            }
            assert!(line.is_none());
            let endless = (0..=MOST_PAGES).map(|_| reply("a", Some("more"))).collect();
            assert_eq!(ids(&mut line, platform(endless).await).await, None);
        });
    }
}
