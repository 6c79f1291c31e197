//! A proxy that holds all bytes up for a fixed time each way, as the link between two regions does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Forwards connections to `listen` on to `target`, with `delay` each way.
pub fn start(listen: SocketAddr, target: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(listen).expect("a proxy can't listen");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(onward) = TcpStream::connect_timeout(&target, Duration::from_millis(300)) else {
                    return;
                };
                for (from, to) in [(&stream, &onward), (&onward, &stream)] {
                    from.set_nodelay(true).ok();
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        pump(from, to, delay);
                    }
                }
            });
        }
    });
}

fn pump(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, queue) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(read) = from.read(&mut buffer) {
            if read == 0 || sender.send((Instant::now() + delay, buffer[..read].to_vec())).is_err() {
                break;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((due, bytes)) = queue.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Both).ok();
    });
}
