//! Host lists that change, are truncated, stale or unavailable.

use super::*;

#[test]
fn hanging_watch_is_reopened() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("hanging-watch", CounterBehavior::Counts, &hosts);
    gateway.discovery.hangs.store(true, Ordering::SeqCst);
    wait_until("the watch is reopened", || gateway.discovery.watch_requests.lock().unwrap().len() >= 2);
    assert_eq!(gateway.send(&lookup_request(1)).0, 200, "the current host list is lost");
}

#[test]
fn host_list_changes_apply_and_broken_watch_resumes_from_its_version() {
    let hosts = [
        Host::start(HostBehavior::Answers),
        Host::start(HostBehavior::Answers),
        Host::start(HostBehavior::Answers),
    ];
    let gateway = start_gateway("list", CounterBehavior::Counts, &hosts[..1]);
    assert_eq!(gateway.send(&lookup_request(1)).0, 200);
    gateway.discovery.publish(
        2,
        false,
        &[host_entry(1, &hosts[1], "ready"), host_entry(0, &hosts[0], "draining")],
    );
    wait_until("the new host serves", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && hosts[1].request_count() > 0
    });
    let draining_host_requests = hosts[0].request_count();
    (10..20).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    assert_eq!(hosts[0].request_count(), draining_host_requests, "sent to a draining host");
    gateway.discovery.breaks.fetch_add(1, Ordering::SeqCst);
    wait_until("the watch is reopened", || gateway.discovery.watch_requests.lock().unwrap().len() == 2);
    let watches = gateway.discovery.watch_requests.lock().unwrap().clone();
    assert!(watches[0].contains("after=1 ") && watches[1].contains("after=2 "), "{watches:?}");
    gateway.discovery.publish(5, true, &[host_entry(2, &hosts[2], "ready")]);
    wait_until("the full list is applied", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && hosts[2].request_count() > 0
    });
    let before = hosts[1].request_count();
    (20..30).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    assert_eq!(hosts[1].request_count(), before, "sent to a host that is not in the full list");
}

/// Guards against gateways that all retry every 300 ms for as long as a busy discovery rejects them.
#[test]
fn rejecting_discovery_is_retried_with_backoff_while_known_hosts_serve() {
    let hosts = [Host::start(HostBehavior::Answers), Host::start(HostBehavior::Answers)];
    let discovery = Discovery::default();
    discovery.rejects.store(true, Ordering::SeqCst);
    let configuration =
        gateway_configuration(start_counter(CounterBehavior::Counts).0, discovery.start(), &hosts[..1]);
    let gateway = start_with_configuration("refusing", &configuration, discovery);
    let descriptors = gateway.descriptors();
    let started = Instant::now();
    while started.elapsed() < ms(6500) {
        assert_eq!(gateway.send(&lookup_request(unused_id())).0, 200);
        sleep(ms(20));
    }
    // In 6.5 s there would be 21 watches or more without backoff, and 13 with backoff and the shortest jitter.
    let watches = gateway.discovery.watch_requests.lock().unwrap().len();
    assert!((4..=14).contains(&watches), "{watches} watches");
    assert!(gateway.descriptors() <= descriptors + 2, "more than one watch connection is open");
    gateway.discovery.publish(
        2,
        false,
        &[host_entry(1, &hosts[1], "ready"), host_entry(0, &hosts[0], "draining")],
    );
    gateway.discovery.rejects.store(false, Ordering::SeqCst);
    wait_until("the list is applied", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && hosts[1].request_count() > 0
    });
}

/// Guards against applying a part of a truncated list, and against a next watch that skips it.
#[test]
fn truncated_host_list_is_ignored_and_requested_again() {
    let hosts = [Host::start(HostBehavior::Answers), Host::start(HostBehavior::Answers)];
    let discovery = Discovery::default();
    discovery.truncates.store(true, Ordering::SeqCst);
    let configuration =
        gateway_configuration(start_counter(CounterBehavior::Counts).0, discovery.start(), &hosts[..1]);
    let gateway = start_with_configuration("torn", &configuration, discovery);
    gateway.discovery.publish(2, true, &[host_entry(1, &hosts[1], "ready")]);
    wait_until("three watches have been truncated", || {
        assert_eq!(gateway.send(&lookup_request(unused_id())).0, 200);
        gateway.discovery.watch_requests.lock().unwrap().len() >= 4
    });
    assert_eq!(hosts[1].request_count(), 0, "the truncated list was applied");
    assert!(gateway.discovery.watch_requests.lock().unwrap().iter().all(|watch| watch.contains("after=1 ")));
    gateway.discovery.truncates.store(false, Ordering::SeqCst);
    wait_until("the complete list is applied", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && hosts[1].request_count() > 0
    });
}

/// Guards against deltas older than the current list, which would make draining or removed hosts ready again.
#[test]
fn stale_delta_is_ignored_and_older_full_list_applies() {
    let hosts = [
        Host::start(HostBehavior::Answers),
        Host::start(HostBehavior::Answers),
        Host::start(HostBehavior::Answers),
    ];
    let gateway = start_gateway("old-version", CounterBehavior::Counts, &hosts[..1]);
    let publish_now = |version, is_full: bool, entries: &[Value]| {
        // Sends the line at once on the open watch whatever its version, as a lagging discovery would.
        let line = json!({"version": version, "full": is_full, "servers": entries}).to_string();
        let mut published = gateway.discovery.published.lock().unwrap();
        let order = published.len() as u64 + 10;
        published.push((order, line));
    };
    publish_now(9, false, &[host_entry(1, &hosts[1], "ready"), host_entry(0, &hosts[0], "draining")]);
    wait_until("the new host serves", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && hosts[1].request_count() > 0
    });
    let draining_host_requests = hosts[0].request_count();
    publish_now(5, false, &[host_entry(0, &hosts[0], "ready")]);
    sleep(ms(300));
    (0..10).for_each(|_| assert_eq!(gateway.send(&lookup_request(unused_id())).0, 200));
    assert_eq!(
        hosts[0].request_count(),
        draining_host_requests,
        "a stale delta brought a draining host back"
    );
    publish_now(3, true, &[host_entry(2, &hosts[2], "ready")]);
    wait_until("the full list is applied", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && hosts[2].request_count() > 0
    });
}

#[test]
fn host_ids_at_new_addresses_are_used_only_there() {
    let old: Vec<Host> = (0..5).map(|_| Host::start(HostBehavior::Answers)).collect();
    let new: Vec<Host> = (0..3).map(|_| Host::start(HostBehavior::Answers)).collect();
    let gateway = start_gateway("moved-ids", CounterBehavior::Counts, &old);
    wait_until("all hosts are used", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && old.iter().all(|host| host.request_count() > 0)
    });
    let mut entries: Vec<Value> = (0..3).map(|n| host_entry(n, &new[n], "ready")).collect();
    entries.extend((3..5).map(|n| host_entry(n, &old[n], "ready")));
    gateway.discovery.publish(2, true, &entries);
    wait_until("all new addresses are used", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && new.iter().all(|host| host.request_count() > 0)
    });
    let counts_before: Vec<usize> = old.iter().map(Host::request_count).collect();
    (0..40).for_each(|_| assert_eq!(gateway.send(&lookup_request(unused_id())).0, 200));
    assert!(
        (0..3).all(|n| old[n].request_count() == counts_before[n]),
        "sent to the previous address of a host"
    );
    assert!((3..5).all(|n| old[n].request_count() > counts_before[n]), "an unchanged host is no longer used");
}
