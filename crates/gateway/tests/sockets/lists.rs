//! The list of hosts: followed, broken off, late, refused.

use super::*;

#[test]
fn a_silent_watch_is_opened_again() {
    let hosts = [Host::start(How::Well)];
    let gateway = gateway("mute-watch", Count::Well, &hosts);
    gateway.list.mute.store(true, Ordering::SeqCst);
    until("the watch is opened again", || gateway.list.asked.lock().unwrap().len() >= 2);
    assert_eq!(gateway.ask(&look(1)).0, 200, "the list in hand stays");
}

#[test]
fn the_list_is_followed_and_watched_again_after_a_break() {
    let hosts = [Host::start(How::Well), Host::start(How::Well), Host::start(How::Well)];
    let gateway = gateway("list", Count::Well, &hosts[..1]);
    assert_eq!(gateway.ask(&look(1)).0, 200);
    gateway.list.say(2, false, &[entry(1, &hosts[1], "ready"), entry(0, &hosts[0], "draining")]);
    until("the new host serves", || gateway.ask(&look(fresh())).0 == 200 && hosts[1].got() > 0);
    let drained = hosts[0].got();
    (10..20).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    assert_eq!(hosts[0].got(), drained, "sent to a draining host");
    gateway.list.breaks.fetch_add(1, Ordering::SeqCst);
    until("the watch is opened again", || gateway.list.asked.lock().unwrap().len() == 2);
    let asked = gateway.list.asked.lock().unwrap().clone();
    assert!(asked[0].contains("after=1 ") && asked[1].contains("after=2 "), "{asked:?}");
    gateway.list.say(5, true, &[entry(2, &hosts[2], "ready")]);
    until("the whole list is taken over", || gateway.ask(&look(fresh())).0 == 200 && hosts[2].got() > 0);
    let before = hosts[1].got();
    (20..30).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    assert_eq!(hosts[1].got(), before, "sent to a host that the whole list left out");
}

/// Gateways that a busy discovery turned away asked again together every 300 ms, for as long as it was busy.
#[test]
fn a_discovery_that_refuses_is_asked_ever_less_often_while_the_known_hosts_serve() {
    let hosts = [Host::start(How::Well), Host::start(How::Well)];
    let list = List::default();
    list.refuses.store(true, Ordering::SeqCst);
    let told = configuration(counter(Count::Well).0, list.start(), &hosts[..1]);
    let gateway = start("refusing", &told, list);
    let descriptors = gateway.descriptors();
    let begun = Instant::now();
    while begun.elapsed() < ms(6500) {
        assert_eq!(gateway.ask(&look(fresh())).0, 200);
        sleep(ms(20));
    }
    // At equal waits it would be 21 or more; grown ones come to 6.5 s with 13 at the shortest that chance gives.
    let asked = gateway.list.asked.lock().unwrap().len();
    assert!((4..=14).contains(&asked), "asked {asked} times");
    assert!(gateway.descriptors() <= descriptors + 2, "one connection is open at a time");
    gateway.list.say(2, false, &[entry(1, &hosts[1], "ready"), entry(0, &hosts[0], "draining")]);
    gateway.list.refuses.store(false, Ordering::SeqCst);
    until("the list is heard", || gateway.ask(&look(fresh())).0 == 200 && hosts[1].got() > 0);
}

/// Half a piece of the list is no list: nothing of it counts, and it is asked for again from the version in hand.
#[test]
fn a_list_that_breaks_off_changes_nothing_and_is_asked_for_again() {
    let hosts = [Host::start(How::Well), Host::start(How::Well)];
    let list = List::default();
    list.tears.store(true, Ordering::SeqCst);
    let told = configuration(counter(Count::Well).0, list.start(), &hosts[..1]);
    let gateway = start("torn", &told, list);
    gateway.list.say(2, true, &[entry(1, &hosts[1], "ready")]);
    until("it has broken off three times", || {
        assert_eq!(gateway.ask(&look(fresh())).0, 200);
        gateway.list.asked.lock().unwrap().len() >= 4
    });
    assert_eq!(hosts[1].got(), 0, "the half was taken for the list");
    assert!(gateway.list.asked.lock().unwrap().iter().all(|asked| asked.contains("after=1 ")));
    gateway.list.tears.store(false, Ordering::SeqCst);
    until("the whole one counts", || gateway.ask(&look(fresh())).0 == 200 && hosts[1].got() > 0);
}

/// Changes older than the list in hand took hosts that were gone since for ready again.
#[test]
fn changes_from_before_the_list_in_hand_are_passed_over_and_a_whole_list_is_not() {
    let hosts = [Host::start(How::Well), Host::start(How::Well), Host::start(How::Well)];
    let gateway = gateway("old-version", Count::Well, &hosts[..1]);
    let list = |version, whole: bool, entries: &[Value]| {
        // Told at once to the watch that is open, as a discovery that lags behind would.
        let line = json!({"version": version, "full": whole, "servers": entries}).to_string();
        let mut said = gateway.list.said.lock().unwrap();
        let order = said.len() as u64 + 10;
        said.push((order, line));
    };
    list(9, false, &[entry(1, &hosts[1], "ready"), entry(0, &hosts[0], "draining")]);
    until("the new host serves", || gateway.ask(&look(fresh())).0 == 200 && hosts[1].got() > 0);
    let drained = hosts[0].got();
    list(5, false, &[entry(0, &hosts[0], "ready")]);
    sleep(ms(300));
    (0..10).for_each(|_| assert_eq!(gateway.ask(&look(fresh())).0, 200));
    assert_eq!(hosts[0].got(), drained, "an old list brought a drained host back");
    list(3, true, &[entry(2, &hosts[2], "ready")]);
    until("the whole list counts", || gateway.ask(&look(fresh())).0 == 200 && hosts[2].got() > 0);
}

#[test]
fn ids_that_come_back_at_other_addresses_are_found_there_and_nowhere_else() {
    let old: Vec<Host> = (0..5).map(|_| Host::start(How::Well)).collect();
    let new: Vec<Host> = (0..3).map(|_| Host::start(How::Well)).collect();
    let gateway = gateway("moved-ids", Count::Well, &old);
    until("all are used", || gateway.ask(&look(fresh())).0 == 200 && old.iter().all(|h| h.got() > 0));
    let mut entries: Vec<Value> = (0..3).map(|n| entry(n, &new[n], "ready")).collect();
    entries.extend((3..5).map(|n| entry(n, &old[n], "ready")));
    gateway.list.say(2, true, &entries);
    until("the new ones are used", || {
        gateway.ask(&look(fresh())).0 == 200 && new.iter().all(|h| h.got() > 0)
    });
    let left: Vec<usize> = old.iter().map(Host::got).collect();
    (0..40).for_each(|_| assert_eq!(gateway.ask(&look(fresh())).0, 200));
    assert!((0..3).all(|n| old[n].got() == left[n]), "sent to an address that its id has left");
    assert!((3..5).all(|n| old[n].got() > left[n]), "those that stayed go on");
}
