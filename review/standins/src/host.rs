//! A stand-in host, as the operators' pages describe one: it runs requests that name its instance, answers 421 to others,
//! seals its answers and tells its load.

use crate::http::Message;
use crate::lock;
use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// A request that reached a host, other than one that it answered with 421.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub ran: bool,
}

pub struct Host {
    pub instance: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub draining: AtomicBool,
    /// When it stops being cold, in seconds of the record.
    pub cold_until: Mutex<f64>,
    work: Duration,
    queue: usize,
    record: Record,
    /// Length of the body of an answer; a short text if 0.
    pub reply_bytes: AtomicUsize,
    running: Mutex<usize>,
    slot_free: Condvar,
    waiting: AtomicUsize,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// How often each request ran.
    pub runs: Mutex<HashMap<String, usize>>,
}

impl Host {
    pub fn start(
        record: &Record,
        listen: SocketAddr,
        instance: &str,
        service: &str,
        zone: &str,
        slots: usize,
        work: Duration,
    ) -> std::io::Result<Arc<Host>> {
        let listener = TcpListener::bind(listen)?;
        let host = Arc::new(Host {
            instance: instance.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
            slots,
            draining: AtomicBool::new(false),
            cold_until: Mutex::new(f64::NEG_INFINITY),
            work,
            queue: slots * 4,
            record: record.clone(),
            reply_bytes: AtomicUsize::new(0),
            running: Mutex::new(0),
            slot_free: Condvar::new(),
            waiting: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
        });
        let accepting = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = accepting.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        Ok(host)
    }

    fn load(&self) -> String {
        format!("{},{},{}", *lock(&self.running), self.waiting.load(Ordering::SeqCst), self.slots)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader) {
            let answer = self.answer(&request);
            writer.write_all(answer.as_bytes()).ok()?;
        }
        Some(())
    }

    fn answer(&self, request: &Message) -> String {
        let id = request.header("attempt-id").to_string();
        let response = |status: &str, headers: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{headers}Server-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.load(),
                body.len()
            )
        };
        let target = request.header("target-instance");
        if !target.is_empty() && target != self.instance {
            return response("421 Misdirected Request", "Not-Executed: 1\r\n", "");
        }
        let mut running = lock(&self.running);
        let full = *running >= self.slots && self.waiting.load(Ordering::SeqCst) >= self.queue;
        let arrival = Arrival { at: self.record.now(), id: id.clone(), ran: !full };
        lock(&self.arrivals).push(arrival);
        if full {
            drop(running);
            self.record.add(format!("{} turns {id} away", self.instance));
            return response("503 Service Unavailable", "Not-Executed: 1\r\n", "");
        }
        if *running >= self.slots {
            self.waiting.fetch_add(1, Ordering::SeqCst);
            while *running >= self.slots {
                running = self.slot_free.wait(running).unwrap_or_else(std::sync::PoisonError::into_inner);
            }
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
        *running += 1;
        drop(running);
        *lock(&self.runs).entry(id.clone()).or_default() += 1;
        self.record.add(format!("{} runs {id}", self.instance));
        thread::sleep(self.work);
        *lock(&self.running) -= 1;
        self.slot_free.notify_one();
        let mut body = format!("{} ran {id}", self.instance);
        let length = self.reply_bytes.load(Ordering::SeqCst);
        body.extend(std::iter::repeat_n('.', length.saturating_sub(body.len())));
        response("200 OK", &format!("Server-Seal: seal.{}.{id}\r\n", self.instance), &body)
    }
}
