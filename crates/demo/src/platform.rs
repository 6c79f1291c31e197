//! The stand-in for the platform, which lists the hosts.

use crate::http::HttpMessage;
use crate::{DemoError, Host, lock};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// The stand-in platform on a loopback address, with its hosts.
pub struct Platform {
    /// Address at which it listens.
    pub address: SocketAddr,
    hosts: Arc<Mutex<Vec<Host>>>,
}

impl Platform {
    pub(crate) fn start() -> Result<Platform, DemoError> {
        let listen_error = |source| DemoError::Listen { stand_in: "the platform".into(), source };
        let listener = TcpListener::bind("127.0.0.1:0").map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let hosts: Arc<Mutex<Vec<Host>>> = Arc::default();
        let served_hosts = hosts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served_hosts = served_hosts.clone();
                thread::spawn(move || serve(stream, &served_hosts));
            }
        });
        Ok(Platform { address, hosts })
    }

    /// The hosts, in the order in which they were added.
    pub fn hosts(&self) -> MutexGuard<'_, Vec<Host>> {
        lock(&self.hosts)
    }

    /// Starts a host and adds it to the list.
    ///
    /// # Errors
    ///
    /// [`DemoError::Listen`] if no port is available on loopback.
    pub fn add_host(&self, id: &str, service: &str, zone: &str) -> Result<(), DemoError> {
        let host = Host::start(id, service, zone)?;
        self.hosts().push(host);
        Ok(())
    }
}

/// Responds to each request on a connection with the list of hosts.
fn serve(stream: TcpStream, hosts: &Mutex<Vec<Host>>) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while HttpMessage::read(&mut reader).is_some() {
        let body = host_list(&lock(hosts)).to_string();
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
    }
    Some(())
}

fn host_list(hosts: &[Host]) -> Value {
    let entry = |host: &Host| {
        let state = if host.draining { "draining" } else { "available" };
        json!({"InstanceId": host.id, "Service": host.service, "Address": host.address, "Zone": host.zone,
            "ConfigVersion": "v1", "Capacity": 4, "OperatingState": state, "ColdLeft": "0ms"})
    };
    json!({"Instances": hosts.iter().map(entry).collect::<Vec<_>>(), "NextToken": null})
}
