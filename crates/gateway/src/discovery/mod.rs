//! Discovery's client: starts from the cached list, then watches for changes from its version on. A watch that fails,
//! times out or whose address has changed is opened again from the last version received. Lists go to the admission
//! module entry by entry, in their order and uninterpreted.

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

/// An empty line comes every 2 s; without any for this long the watch has failed. Short enough that a second watch
/// receives a list within the 6 s after which gateways are expected to know it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2800);
/// Longest wait for a connection to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First and longest wait between two watches while they fail. The longest is short enough for a host that drains while
/// discovery rejects watches to be known within the same 6 s.
const FIRST_RETRY: Duration = Duration::from_millis(300);
const MAX_RETRY: Duration = Duration::from_secs(1);

/// The client of discovery.
pub struct DiscoveryClient {
    dispatcher: Rc<Dispatcher>,
    address: Cell<SocketAddr>,
    address_changed: Notify,
    /// Numbers of the listed hosts, by discovery's identifiers.
    host_ids: RefCell<HashMap<String, HostId>>,
    next_host: Cell<HostId>,
    version: Cell<u64>,
    backoff: Cell<Backoff>,
}

impl DiscoveryClient {
    /// Takes over the list that was cached before the start.
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
        client.apply(client.parse(cached).unwrap_or(empty), HostListUpdate::Cached);
        Rc::new(client)
    }

    fn parse(&self, value: &Value) -> Option<HostList> {
        parse_host_list(value, &self.dispatcher.settings, self.dispatcher.clock)
    }

    /// Lists come from this address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    fn apply(&self, list: HostList, update: HostListUpdate) {
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

    /// What a full list leaves out is forgotten, or identifiers of long ago would pile up.
    fn forget_unlisted(&self, hosts: &[ListedHost]) {
        let listed: HashSet<&str> = hosts.iter().map(|host| host.id.as_str()).collect();
        let mut host_ids = self.host_ids.borrow_mut();
        let unlisted = host_ids.extract_if(|id, _| !listed.contains(id.as_str()));
        unlisted.for_each(|(_, host)| self.forget(host));
    }

    fn forget(&self, host: HostId) {
        self.dispatcher.connections.forget(host);
        self.dispatcher.call(|_, _, driver| driver.hosts.remove(&host));
    }

    /// The entry with its number; `None` for a removed host that was not listed. A removed host is forgotten too: should
    /// its identifier or its address come again, that is a new host.
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

    /// One watch, until it fails.
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
            self.received(self.parse(&value).ok_or(WatchError::NoVersion)?);
        }
    }

    /// Changes from before the list in use would bring back hosts that are draining or removed. A full list is applied
    /// whatever its version: discovery may have been replaced.
    fn received(&self, list: HostList) {
        let current = self.version.get();
        if list.version < current {
            log::warn!("discovery: version {} after {current}; only a full list is applied", list.version);
        }
        if list.is_full || list.version >= current {
            let update = if list.is_full { HostListUpdate::Full } else { HostListUpdate::Delta };
            self.apply(list, update);
        }
    }

    /// Watches for good. Where the settings demand subscriptions, a failed watch is reported to the admission module, and
    /// opened again when the module subscribes.
    pub async fn run(self: Rc<DiscoveryClient>, subscribed: Rc<Notify>) {
        let must_subscribe = self.dispatcher.settings.admission.must_subscribe;
        let mut address_changed = false;
        loop {
            let started = Instant::now();
            if must_subscribe && !address_changed {
                subscribed.notified().await;
            }
            // With a new address the next watch goes on from the same version there, at once.
            let error = tokio::select! {
                biased;
                _ = self.address_changed.notified() => None,
                ended = self.watch() => ended.err(),
            };
            address_changed = error.is_none();
            if let Some(error) = error {
                self.watch_failed(started, &error).await;
            }
        }
    }

    /// Logs and reports the failure, and waits for the next watch. The module sets the pace where it has to subscribe;
    /// elsewhere jitter keeps gateways whose watches failed together from coming back together.
    async fn watch_failed(&self, started: Instant, error: &WatchError) {
        let must_subscribe = self.dispatcher.settings.admission.must_subscribe;
        let mut backoff = self.backoff.get();
        let delay = self.dispatcher.retry_delay(&mut backoff, FIRST_RETRY, MAX_RETRY);
        self.backoff.set(backoff);
        log::warn!("discovery: watch failed after {:.1?}: {error}", started.elapsed());
        if must_subscribe {
            self.dispatcher.call(|admission, now, driver| {
                admission.host_list_updated(now, driver, HostListUpdate::Failed, &[]);
            });
        }
        sleep_until(started + if must_subscribe { FIRST_RETRY } else { delay }).await;
    }
}
