//! The stand-in platform: the list of hosts.

use crate::host::Host;
use crate::http::Message;
use crate::lock;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Platform {
    pub address: SocketAddr,
    pub hosts: Mutex<Vec<Arc<Host>>>,
    record: Record,
}

impl Platform {
    pub fn start(record: &Record, listen: SocketAddr) -> std::io::Result<Arc<Platform>> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let platform = Arc::new(Platform { address, hosts: Mutex::default(), record: record.clone() });
        let accepting = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = accepting.clone();
                thread::spawn(move || platform.serve(stream));
            }
        });
        Ok(platform)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while Message::read(&mut reader).is_some() {
            let body = self.list();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
            write!(writer, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        }
        Some(())
    }

    fn list(&self) -> String {
        let now = self.record.now();
        let entry = |host: &Arc<Host>| {
            let state = if host.draining.load(Ordering::SeqCst) { "draining" } else { "available" };
            let cold_ms = ((*lock(&host.cold_until) - now).max(0.0) * 1e3).round();
            format!(
                "{{\"InstanceId\":\"{}\",\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"ConfigVersion\":\"v1\",\
                 \"Capacity\":{},\"OperatingState\":\"{state}\",\"ColdLeft\":\"{cold_ms}ms\"}}",
                host.instance, host.service, host.address, host.zone, host.slots
            )
        };
        let entries: Vec<String> = lock(&self.hosts).iter().map(entry).collect();
        format!("{{\"Instances\":[{}],\"NextToken\":null}}", entries.join(","))
    }
}
