//! A hundred data gateways and six control gateways on a made-up network, in made-up time. Looked at is that news reaches
//! all in time, that sessions spread evenly, also after a control gateway is lost, and that a data gateway's link carries
//! little beside its traffic.

mod sea;

use archlink_consensus::Outcome;
use archlink_messages::NodeId;
use sea::{Sea, hosts};

/// From a cold start to all serving; a configuration, a much larger one and a list of hosts reach all in time, in few
/// bytes; and standing still costs next to nothing.
#[test]
fn news_reaches_a_hundred_gateways_soon_and_in_few_bytes() {
    let mut sea = Sea::new(100);
    sea.run(2.0);
    sea.replace(4, 1, 40);
    sea.run(1.0);
    assert_eq!((sea.done.as_slice(), sea.with_version(1), sea.vouched()), (&[Outcome::Chosen][..], 100, 100));
    sea.core(2, |control, now| control.set_host_list(now, hosts(1, 230)));
    sea.run(3.5);
    // All are counted by all, once those who only started may tell.
    assert!(sea.ships.values().all(|ship| ship.views.data_nodes().len() == 100));
    let most = |sea: &Sea, from: NodeId| sea.bytes.iter().filter(|b| *b.0 >= from).map(|b| *b.1).max();
    sea.bytes.clear();
    sea.run(5.0);
    let (ship, core) = (most(&sea, 100).unwrap() / 5, most(&sea, 1).unwrap() / 5);
    assert!(ship < 1200 && core < 40_000, "{ship} and {core} bytes a second at rest");
    // Hosts come and go one by one: all hear of it, in bytes for what changed.
    sea.bytes.clear();
    for version in 2..7 {
        let mut list = hosts(version, 230 + version as usize);
        list.instances.remove(version as usize * 9);
        list.instances[version as usize].draining = true;
        sea.core(2, |control, now| control.set_host_list(now, list.clone()));
        sea.run(1.0);
        assert!(sea.ships.values().all(|ship| ship.hosts == list), "list {version}");
    }
    let ship = most(&sea, 100).unwrap();
    assert!(ship < 5 * (1200 + 700), "{ship} bytes for five changes of the list");
    // Three hundred routes more: in force everywhere within a second, for less than the text packed by itself at each.
    sea.bytes.clear();
    let whole = sea.replace(1, 2, 340);
    sea.run(1.0);
    assert_eq!((sea.with_version(2), sea.vouched()), (100, 100));
    let ship = most(&sea, 100).unwrap();
    assert!(ship < whole + 3000, "{ship} bytes, {whole} packed");
    // One route more costs what it changes, a storm of them what they change together.
    sea.bytes.clear();
    let before = sea.ships[&100].configurations;
    for version in 3..11 {
        sea.replace(1 + version as NodeId % 6, version, 340 + version as usize);
        sea.run(0.1);
    }
    sea.run(1.0);
    assert_eq!((sea.with_version(10), sea.vouched()), (100, 100));
    let ship = most(&sea, 100).unwrap();
    assert!(ship < 8 * 300 + 2 * 1200, "{ship} bytes for eight changes");
    let read = sea.ships[&100].configurations - before;
    assert!(read <= 4, "{read} of eight configurations in quick succession were read");
}

/// Guards against a stampede: the sessions of a control gateway that is lost go to the others evenly, and its zone's come
/// home once it is back; nobody is without a majority's word meanwhile.
#[test]
fn sessions_of_a_lost_control_gateway_spread_and_come_home() {
    let mut sea = Sea::new(100);
    sea.run(2.0);
    sea.replace(4, 1, 40);
    sea.run(3.0);
    let spread = sea.spread();
    assert!(spread.len() == 6 && spread.values().all(|n| (16..=17).contains(n)), "{spread:?}");
    sea.cores.remove(&6);
    for _ in 0..60 {
        sea.run(0.1);
        assert_eq!(sea.vouched(), 100);
    }
    let spread = sea.spread();
    assert!(spread.values().sum::<usize>() == 100 && spread.values().all(|n| *n <= 28), "{spread:?}");
    sea.start_core(6);
    sea.run(14.0);
    let spread = sea.spread();
    assert!(spread.get(&6).is_some_and(|n| *n >= 16), "{spread:?}");
    assert_eq!(sea.vouched(), 100);
}
