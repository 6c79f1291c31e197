//! Stand-ins for the platform and the hosts, as PROTOCOL.md describes them.

use crate::http::{Message, read_message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// One machine of a service. Each start of its host is a new life with a new `InstanceId`.
pub struct Host {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub capacity: u32,
    pub address: SocketAddr,
    /// Milliseconds of work for each request.
    pub work_ms: AtomicU64,
    /// Whether it works on `capacity` requests at a time only, queues four times as many, and turns others away as full.
    pub bounded: AtomicBool,
    slots: Mutex<(u32, u32)>,
    freed: Condvar,
    /// How long the host is cold after its start, and the second of that.
    cold_s: f64,
    started_at: Mutex<f64>,
    /// Whether the platform lists it.
    pub listed: AtomicBool,
    life: AtomicU64,
    dark: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Connections that fill the queue of new ones while the host is dark, so that opening packets are dropped.
    fillers: Mutex<Vec<TcpStream>>,
    /// `Attempt-Id` and the second at which the host began to work on it.
    pub ran: Mutex<Vec<(String, f64)>>,
    pub body: Mutex<Vec<u8>>,
    record: Arc<Record>,
}

impl Host {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        ip: Ipv4Addr,
        capacity: u32,
        work_ms: u64,
        record: Arc<Record>,
    ) -> Arc<Host> {
        let listener = TcpListener::bind((ip, 0)).expect("a host can't listen");
        let host = Arc::new(Host {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            capacity,
            address: listener.local_addr().unwrap(),
            work_ms: AtomicU64::new(work_ms),
            bounded: AtomicBool::new(false),
            slots: Mutex::new((0, 0)),
            freed: Condvar::new(),
            cold_s: 3.0,
            started_at: Mutex::new(f64::NEG_INFINITY),
            listed: AtomicBool::new(true),
            life: AtomicU64::new(1),
            dark: AtomicBool::new(false),
            connections: Mutex::default(),
            fillers: Mutex::default(),
            ran: Mutex::default(),
            body: Mutex::new(b"the host's bytes".to_vec()),
            record,
        });
        let accepting = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                while accepting.is_dark() {
                    thread::sleep(Duration::from_millis(20));
                }
                let host = accepting.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        host
    }

    /// The host starts during traffic: it is cold, and the platform lists it from now on.
    pub fn start_cold(&self) {
        *self.started_at.lock().unwrap() = self.record.seconds();
        self.listed.store(true, Ordering::SeqCst);
    }

    /// Seconds for which the host is still cold; it works twice as long meanwhile.
    fn cold_left(&self) -> f64 {
        (*self.started_at.lock().unwrap() + self.cold_s - self.record.seconds()).max(0.0)
    }

    pub fn instance(&self) -> String {
        format!("{}-{}", self.name, self.life.load(Ordering::SeqCst))
    }

    pub fn is_dark(&self) -> bool {
        self.dark.load(Ordering::SeqCst)
    }

    /// The host loses power: it says nothing more, and connections to it hang.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::SeqCst);
        let mut fillers = self.fillers.lock().unwrap();
        for _ in 0..1024 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(30)) {
                Ok(stream) => fillers.push(stream),
                Err(_) => break,
            }
        }
    }

    /// The host starts again: a new life, and none of the old connections.
    pub fn come_back(&self) {
        self.life.fetch_add(1, Ordering::SeqCst);
        self.fillers.lock().unwrap().clear();
        for stream in self.connections.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        self.dark.store(false, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok();
        let life = self.life.load(Ordering::SeqCst);
        let mut writer = stream.try_clone().ok()?;
        self.connections.lock().unwrap().push(stream.try_clone().ok()?);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader).ok()? {
            let answer = self.answer(&request, life);
            // A host without power neither answers nor closes; `come_back` ends the connection.
            while self.is_dark() {
                thread::sleep(Duration::from_millis(20));
            }
            if self.life.load(Ordering::SeqCst) != life {
                return None;
            }
            writer.write_all(&answer).ok()?;
        }
        Some(())
    }

    /// Waits for a slot; false if the queue is full.
    fn take_slot(&self) -> bool {
        let mut slots = self.slots.lock().unwrap();
        if slots.0 >= self.capacity && slots.1 >= 4 * self.capacity {
            return false;
        }
        slots.1 += 1;
        while slots.0 >= self.capacity {
            slots = self.freed.wait(slots).unwrap();
        }
        slots.1 -= 1;
        slots.0 += 1;
        true
    }

    fn answer(&self, request: &Message, life: u64) -> Vec<u8> {
        let id = request.header("attempt-id").to_string();
        let instance = format!("{}-{life}", self.name);
        if request.start.starts_with("GET /health ") {
            return format!("HTTP/1.1 200 OK\r\nInstance-Id: {instance}\r\nContent-Length: 0\r\n\r\n")
                .into_bytes();
        }
        let target = request.header("target-instance");
        if !target.is_empty() && target != instance {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        if self.is_dark() {
            self.record.line(format!("{}: arrives in the dark, not run: {id}", self.name));
            return Vec::new();
        }
        let bounded = self.bounded.load(Ordering::Relaxed);
        if bounded && !self.take_slot() {
            return format!(
                "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        self.ran.lock().unwrap().push((id.clone(), self.record.seconds()));
        let times = if self.cold_left() > 0.0 { 2 } else { 1 };
        thread::sleep(Duration::from_millis(times * self.work_ms.load(Ordering::Relaxed)));
        if bounded {
            self.slots.lock().unwrap().0 -= 1;
            self.freed.notify_one();
        }
        let body = self.body.lock().unwrap().clone();
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        answer.extend_from_slice(&body);
        answer
    }
}

/// The platform's list of hosts.
pub struct Platform {
    pub address: SocketAddr,
}

impl Platform {
    /// Lists the hosts; one that is dark stays on the list, as one that has crashed does for some seconds.
    pub fn start(ip: Ipv4Addr, hosts: Vec<Arc<Host>>) -> Platform {
        let listener = TcpListener::bind((ip, 0)).expect("the platform can't listen");
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let hosts = hosts.clone();
                thread::spawn(move || list(stream, &hosts));
            }
        });
        Platform { address }
    }
}

fn list(stream: TcpStream, hosts: &[Arc<Host>]) -> Option<()> {
    stream.set_nodelay(true).ok();
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while read_message(&mut reader).ok()?.is_some() {
        let entry = |host: &Arc<Host>| {
            format!(
                "{{\"InstanceId\":\"{}\",\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"ConfigVersion\":\"v1\",\
                 \"Capacity\":{},\"OperatingState\":\"available\",\"ColdLeft\":\"{}ms\"}}",
                host.instance(),
                host.service,
                host.address,
                host.zone,
                host.capacity,
                (host.cold_left() * 1e3) as u64
            )
        };
        let entries: Vec<String> =
            hosts.iter().filter(|host| host.listed.load(Ordering::SeqCst)).map(entry).collect();
        let body = format!("{{\"Instances\":[{}],\"NextToken\":null}}", entries.join(","));
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
    }
    Some(())
}
