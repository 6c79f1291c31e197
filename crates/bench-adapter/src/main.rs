//! `archlink-bench-adapter`: the admission module on the simulator's wire. It reads batches of events from standard input,
//! calls the module, and writes its actions to standard output; it decides nothing. A malformed batch ends it with status
//! 2 and one line; a panic of the module is reported as an action of its instance.

mod driver;
mod error;
mod instances;
mod reader;
mod writer;

use error::BatchError;
use instances::Instances;
use reader::{Frame, HEADER, MICROSECONDS};
use std::any::Any;
use std::io::{BufReader, BufWriter, Read, Write, stdin, stdout};
use std::panic::{AssertUnwindSafe, catch_unwind};
use writer::{Reply, code};

/// Bytes buffered in each direction.
const BUFFER: usize = 1 << 20;
/// Exit status for a malformed batch.
const MALFORMED: i32 = 2;

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "panic".into())
}

fn answer(instances: &mut Instances, frame: &Frame) -> Result<Reply, BatchError> {
    let now = frame.clock as f64 / MICROSECONDS;
    let mut reply = Reply::default();
    for at in 0..frame.count {
        let event = AssertUnwindSafe(|| instances.handle(now, frame, at, &mut reply));
        match catch_unwind(event) {
            Ok(handled) => handled.map_err(|error| BatchError { batch: Some(frame.batch), error })?,
            Err(panic) => {
                let instance = frame.record(at).skip(1).u16("who")?;
                reply.action(code::PANIC, instance).bytes(panic_text(&*panic).as_bytes());
            }
        }
    }
    Ok(reply)
}

fn run() -> Result<(), BatchError> {
    let mut input = BufReader::with_capacity(BUFFER, stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER, stdout().lock());
    let mut instances = Instances::default();
    std::panic::set_hook(Box::new(|_| {}));
    loop {
        let mut header = Vec::new();
        input.by_ref().take(HEADER as u64).read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(());
        }
        let frame = Frame::read(&header, &mut input)?;
        let reply = answer(&mut instances, &frame)?;
        output.write_all(&reply.into_bytes(frame.batch))?;
        output.flush()?;
    }
}

fn main() {
    if let Err(error) = run() {
        eprintln!("archlink-bench-adapter: {error}");
        std::process::exit(MALFORMED);
    }
}
