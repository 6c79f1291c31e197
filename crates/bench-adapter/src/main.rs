//! `archlink-bench-adapter` connects the admission module to the simulator's wire protocol. It reads batches of
//! events from standard input, passes them to the module and writes the module's actions to standard output; it makes
//! no decisions itself. A malformed batch ends the process with status 2 and one line on standard error. A panic of
//! the module is reported as an action of its instance.

mod driver;
mod error;
mod instances;
mod reader;
mod writer;

use error::BatchError;
use instances::Instances;
use reader::{Frame, HEADER_BYTES, MICROSECONDS_PER_SECOND};
use std::any::Any;
use std::io::{BufReader, BufWriter, Read, Write, stdin, stdout};
use std::panic::{AssertUnwindSafe, catch_unwind};
use writer::{Reply, code};

/// Size of the input and the output buffer, in bytes.
const BUFFER_BYTES: usize = 1 << 20;
/// Size of the event code at the start of each record, in bytes.
const EVENT_CODE_BYTES: usize = 1;
/// Exit status on malformed input or an I/O error.
const EXIT_FAILURE: i32 = 2;

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "panic".into())
}

/// Handles the events of a batch in order and returns the actions that they cause.
fn handle_batch(instances: &mut Instances, frame: &Frame) -> Result<Reply, BatchError> {
    let now = frame.clock as f64 / MICROSECONDS_PER_SECOND;
    let mut reply = Reply::default();
    for index in 0..frame.count {
        let handle_event = AssertUnwindSafe(|| instances.handle(now, frame, index, &mut reply));
        match catch_unwind(handle_event) {
            Ok(result) => result.map_err(|error| BatchError { batch: Some(frame.batch), error })?,
            Err(panic) => {
                let instance = frame.record(index).skip(EVENT_CODE_BYTES).u16("who")?;
                reply.action(code::PANIC, instance).bytes(panic_message(&*panic).as_bytes());
            }
        }
    }
    Ok(reply)
}

fn run() -> Result<(), BatchError> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, stdout().lock());
    let mut instances = Instances::default();
    std::panic::set_hook(Box::new(|_| {}));
    loop {
        let mut header = Vec::new();
        input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(());
        }
        let frame = Frame::read(&header, &mut input)?;
        let reply = handle_batch(&mut instances, &frame)?;
        output.write_all(&reply.into_bytes(frame.batch))?;
        output.flush()?;
    }
}

fn main() {
    if let Err(error) = run() {
        eprintln!("archlink-bench-adapter: {error}");
        std::process::exit(EXIT_FAILURE);
    }
}
