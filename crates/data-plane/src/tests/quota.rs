//! Waits for the quota counter's verdict end, whatever becomes of the counting. Time is simulated.

use super::new_data_plane;
use crate::data_plane::DataPlane;
use crate::quota_enforcement::QuotaExceeded;
use archlink_config::Tenant;
use futures_util::future::join;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::LocalOptions;
use tokio::time::Instant;

const CONFIGURATION: &str = r#"{"ConfigVersion": "00000001",
    "RouteTable": {"ColumnNames": [], "Records": []}, "ServiceTable": {"ColumnNames": [], "Records": []},
    "Subscribers": {"ColumnNames": ["Designation", "Credentials", "RatePerS", "BurstSize"],
        "Records": [["t", ["k"], 100, 100]]}}"#;
/// `Timeout` of the requests in seconds, and the longest that they may wait for the counter.
const TIME_LIMIT: f64 = 2.0;
const MAX_WAIT: Duration = Duration::from_millis(600);

/// Runs a test with a data node whose counter counts as reachable, although no task talks to it.
fn with_data_plane<F: Future<Output = ()>>(test: impl FnOnce(Rc<DataPlane>, Tenant) -> F) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build_local(LocalOptions::default()).unwrap();
    runtime.block_on(async {
        let data_plane = new_data_plane(&[], CONFIGURATION);
        data_plane.set_counter_reachable(true);
        let tenant = data_plane.configuration().unwrap().tenants[0].clone();
        test(data_plane, tenant).await;
    });
}

/// Guards against requests that wait for ever: the task that sends the adds had ended (review/4).
#[test]
fn request_without_a_verdict_is_decided_by_the_local_share_and_withdrawn() {
    with_data_plane(async |data_plane, tenant| {
        let started = Instant::now();
        let acquired = data_plane.acquire_quota(&tenant, TIME_LIMIT).await;
        assert!(started.elapsed() <= MAX_WAIT, "{:?}", started.elapsed());
        assert_eq!(
            acquired,
            Err(QuotaExceeded { retry_after: 0.3 }),
            "its local share is empty at the start"
        );
        assert!(data_plane.quota.waiting.borrow().is_empty());
    });
}

/// A request with less time left waits no longer than that.
#[test]
fn request_waits_no_longer_than_its_time_limit() {
    with_data_plane(async |data_plane, tenant| {
        let started = Instant::now();
        data_plane.acquire_quota(&tenant, 0.1).await.unwrap_err();
        assert!(started.elapsed() <= Duration::from_millis(150), "{:?}", started.elapsed());
    });
}

/// Guards against a count that goes on with half of its state after a panic: it begins anew, the waiting requests end at once,
/// and later ones are counted.
#[test]
fn counting_begins_anew_and_waiting_requests_end() {
    with_data_plane(async |data_plane, tenant| {
        let started = Instant::now();
        let reset = async {
            let first_adds = data_plane.quota.take_adds();
            data_plane.reset_quota_counting();
            first_adds
        };
        let (acquired, first_adds) = join(data_plane.acquire_quota(&tenant, TIME_LIMIT), reset).await;
        assert!(acquired.is_err() && started.elapsed().is_zero(), "{:?}", started.elapsed());
        data_plane.set_counter_reachable(true);
        let later_adds = async { data_plane.quota.take_adds() };
        let (_, later_adds) = join(data_plane.acquire_quota(&tenant, TIME_LIMIT), later_adds).await;
        assert!(!first_adds.is_empty());
        assert_eq!(later_adds, first_adds, "the same first add to the same window");
    });
}
