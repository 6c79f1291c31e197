//! Captures the lines that a test logs on its own thread, as `text key=value key=value`.

use log::kv::{Error, Key, Value, VisitSource};
use std::cell::RefCell;
use std::fmt::Write;
use std::sync::Once;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Capture;

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let mut fields = Fields(String::new());
        record.key_values().visit(&mut fields).unwrap();
        LINES.with_borrow_mut(|lines| lines.push(format!("{}{}", record.args(), fields.0)));
    }

    fn flush(&self) {}
}

/// The lines that `work` logs on this thread.
pub fn logged_by(work: impl FnOnce()) -> Vec<String> {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&Capture).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.take();
    work();
    LINES.take()
}
