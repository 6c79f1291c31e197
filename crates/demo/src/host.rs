//! Stand-in hosts. Each host has one instance, which executes the requests addressed to it.

use crate::http::HttpMessage;
use crate::{DemoError, lock};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// How a host handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehavior {
    /// Executes the request and responds with 200.
    Succeeds,
    /// Executes the request and closes the connection without a response.
    DropsConnection,
    /// Rejects the request with 503 and a header which says that it was not executed.
    Overloaded,
}

/// A request as a host received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The request line.
    pub request_line: String,
    /// Value of the header that was asked for; empty if the request has none.
    pub header: String,
}

/// State shared between the host's threads and its owner.
struct Shared {
    instance: String,
    behavior: Mutex<HostBehavior>,
    executed: Mutex<Vec<HttpMessage>>,
}

/// A stand-in host on a loopback address.
pub struct Host {
    /// ID of its instance.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Name of its zone.
    pub zone: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Whether the platform lists it as draining.
    pub draining: bool,
    shared: Arc<Shared>,
}

impl Host {
    pub(crate) fn start(id: &str, service: &str, zone: &str) -> Result<Host, DemoError> {
        let listen_error = |source| DemoError::Listen { stand_in: format!("host {id}"), source };
        let listener = TcpListener::bind("127.0.0.1:0").map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let shared = Arc::new(Shared {
            instance: id.to_string(),
            behavior: Mutex::new(HostBehavior::Succeeds),
            executed: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Host {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address,
            draining: false,
            shared,
        })
    }

    /// Sets the behavior for further requests.
    pub fn set_behavior(&self, behavior: HostBehavior) {
        *lock(&self.shared.behavior) = behavior;
    }

    /// Attempt IDs of the executed requests, in order.
    pub fn executed(&self) -> Vec<String> {
        lock(&self.shared.executed).iter().map(|request| request.header("attempt-id").to_string()).collect()
    }

    /// The last executed request, with one of its headers.
    pub fn last_executed(&self, header: &str) -> Option<ReceivedRequest> {
        lock(&self.shared.executed).last().map(|request| ReceivedRequest {
            request_line: request.start_line.clone(),
            header: request.header(header).to_string(),
        })
    }
}

impl Shared {
    /// Serves one connection until it ends.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = HttpMessage::read(&mut reader) {
            let behavior = *lock(&self.behavior);
            let response = self.response(&request, behavior);
            if request.header("target-instance") == self.instance && behavior != HostBehavior::Overloaded {
                lock(&self.executed).push(request);
            }
            if behavior == HostBehavior::DropsConnection {
                return None;
            }
            writer.write_all(response.as_bytes()).ok()?;
        }
        Some(())
    }

    fn response(&self, request: &HttpMessage, behavior: HostBehavior) -> String {
        let attempt_id = request.header("attempt-id");
        let response = |status: &str, headers: &str, body: &str| {
            let length = body.len();
            format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
            )
        };
        if request.header("target-instance") != self.instance {
            return response("421 Misdirected Request", "", "");
        }
        if behavior == HostBehavior::Overloaded {
            return response("503 Service Unavailable", "Not-Executed: 1\r\n", "");
        }
        let headers = "Server-Seal: seal\r\nServer-Load: 1,0,4\r\n";
        response("200 OK", headers, &format!("by {}", self.instance))
    }
}
