//! The client of discovery: starts with the cached host list and watches for changes after its version. A watch that
//! fails, times out or whose address has changed is reopened from the last version received. The entries of a list are
//! passed to the admission module in the order received and without interpretation.

mod error;
mod host_list;
mod watch_codec;

use crate::dispatcher::Dispatcher;
use crate::protocol::HOST_LIST_PATH;
use archlink_admission::backoff::Backoff;
use archlink_admission::interface::{HostEntry, HostId, HostListUpdate, HostState};
use error::WatchError;
use futures_util::StreamExt;
use host_list::{HostList, ListedHost, parse_host_list};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::FramedRead;
use watch_codec::WatchCodec;

/// A watch has failed if no line arrives for this long; discovery sends an empty line every 2 s. Short enough that a
/// second watch receives a list within the 6 s in which gateways are expected to know it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2800);
/// Timeout of a connection attempt to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First and longest delay between watches while they fail. The longest is short enough that a host that starts to
/// drain while discovery rejects watches is known within the same 6 s.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches discovery and applies its host lists.
pub struct DiscoveryClient {
    dispatcher: Rc<Dispatcher>,
    address: Cell<SocketAddr>,
    address_changed: Notify,
    /// Host numbers of the listed hosts by discovery's identifiers.
    host_ids: RefCell<HashMap<String, HostId>>,
    next_host: Cell<HostId>,
    version: Cell<u64>,
    backoff: Cell<Backoff>,
}

impl DiscoveryClient {
    /// Creates the client and applies the host list that was cached before the start.
    pub fn start(dispatcher: Rc<Dispatcher>, address: SocketAddr, cached: &Value) -> Rc<DiscoveryClient> {
        let client = DiscoveryClient {
            dispatcher,
            address: Cell::new(address),
            address_changed: Notify::new(),
            host_ids: RefCell::default(),
            next_host: Cell::new(1),
            version: Cell::new(0),
            backoff: Cell::default(),
        };
        let empty = HostList { version: 0, is_full: true, hosts: Vec::new() };
        client.apply_list(client.parse_list(cached).unwrap_or(empty), HostListUpdate::Cached);
        Rc::new(client)
    }

    fn parse_list(&self, value: &Value) -> Option<HostList> {
        parse_host_list(value, &self.dispatcher.settings, self.dispatcher.clock)
    }

    /// Changes discovery's address; the watch moves to it at once.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    fn apply_list(&self, list: HostList, update: HostListUpdate) {
        self.version.set(list.version);
        if update != HostListUpdate::Delta {
            self.forget_unlisted(&list.hosts);
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        entries.extend(list.hosts.into_iter().filter_map(|host| self.apply_entry(host)));
        self.dispatcher.call(|admission, now, driver| {
            admission.host_list_updated(now, driver, update, &entries);
        });
    }

    /// Forgets hosts that a complete list leaves out; otherwise old identifiers would accumulate.
    fn forget_unlisted(&self, hosts: &[ListedHost]) {
        let listed: HashSet<&str> = hosts.iter().map(|host| host.id.as_str()).collect();
        let mut host_ids = self.host_ids.borrow_mut();
        let unlisted = host_ids.extract_if(|id, _| !listed.contains(id.as_str()));
        unlisted.for_each(|(_, host)| self.forget(host));
    }

    /// Closes the idle connections to a host and removes its address.
    fn forget(&self, host: HostId) {
        self.dispatcher.connections.forget(host);
        self.dispatcher.call(|_, _, driver| driver.hosts.remove(&host));
    }

    /// Returns the entry with its host number, or `None` for a removed host that was not listed. A removed host is
    /// forgotten: if its identifier or address is listed again, that is a new host.
    fn apply_entry(&self, listed: ListedHost) -> Option<HostEntry> {
        let ListedHost { id, address, entry } = listed;
        let is_removed = entry.state == HostState::Removed;
        let mut host_ids = self.host_ids.borrow_mut();
        let host = match host_ids.get(&id) {
            None if is_removed => return None,
            None => self.next_host.replace(self.next_host.get() + 1),
            Some(host) => *host,
        };
        if is_removed {
            host_ids.remove(&id);
            self.forget(host);
        } else {
            host_ids.insert(id, host);
            let previous = self.dispatcher.call(|_, _, driver| driver.hosts.insert(host, address));
            if previous.is_some_and(|previous| previous != address) {
                self.dispatcher.connections.forget(host);
            }
        }
        Some(HostEntry { host, ..entry })
    }

    async fn open_watch(&self) -> Result<FramedRead<TcpStream, WatchCodec>, WatchError> {
        let address = self.address.get();
        let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        let request = format!(
            "GET {HOST_LIST_PATH}?watch=1&after={} HTTP/1.1\r\nHost: {address}\r\n\r\n",
            self.version.get()
        );
        stream.write_all(request.as_bytes()).await?;
        Ok(FramedRead::new(stream, WatchCodec::default()))
    }

    /// Runs one watch until it fails.
    async fn watch(&self) -> Result<(), WatchError> {
        let mut lines = self.open_watch().await?;
        loop {
            let line = timeout(WATCH_TIMEOUT, lines.next()).await?;
            let line = line.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
            self.backoff.set(Backoff::default());
            if line.trim_ascii().is_empty() {
                continue;
            }
            let value = serde_json::from_slice(&line)?;
            self.handle_list(self.parse_list(&value).ok_or(WatchError::MissingVersion)?);
        }
    }

    /// Applies a list unless it is an outdated delta, which would bring back hosts that are draining or removed. A full
    /// list is applied whatever its version, because discovery may have been replaced.
    fn handle_list(&self, list: HostList) {
        let current = self.version.get();
        if list.version < current {
            log::warn!(
                "discovery: received version {}, older than {current}; it is applied only if it is a full list",
                list.version
            );
        }
        if list.is_full || list.version >= current {
            let update = if list.is_full { HostListUpdate::Full } else { HostListUpdate::Delta };
            self.apply_list(list, update);
        }
    }

    /// Watches discovery; never returns. If the settings require subscriptions, a failed watch is reported to the
    /// admission module and reopened when the module subscribes.
    pub async fn run(self: Rc<DiscoveryClient>, subscribe_requested: Rc<Notify>) {
        let must_subscribe = self.dispatcher.settings.admission.must_subscribe;
        let mut address_changed = false;
        loop {
            let started = Instant::now();
            if must_subscribe && !address_changed {
                subscribe_requested.notified().await;
            }
            // After a change of the address the next watch starts there at once, from the same version.
            let error = tokio::select! {
                biased;
                _ = self.address_changed.notified() => None,
                result = self.watch() => result.err(),
            };
            address_changed = error.is_none();
            if let Some(error) = error {
                self.handle_watch_failure(started, &error).await;
            }
        }
    }

    /// Logs and reports the failure, and waits until the next watch may start. If subscriptions are required, the
    /// module paces the retries; otherwise jitter spreads out the retries of gateways whose watches failed together.
    async fn handle_watch_failure(&self, started: Instant, error: &WatchError) {
        let must_subscribe = self.dispatcher.settings.admission.must_subscribe;
        let mut backoff = self.backoff.get();
        let delay = self.dispatcher.retry_delay(&mut backoff, FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        self.backoff.set(backoff);
        log::warn!("discovery: watch failed after {:.1?}: {error}", started.elapsed());
        if must_subscribe {
            self.dispatcher.call(|admission, now, driver| {
                admission.host_list_updated(now, driver, HostListUpdate::Failed, &[]);
            });
        }
        sleep_until(started + if must_subscribe { FIRST_RETRY_DELAY } else { delay }).await;
    }
}
