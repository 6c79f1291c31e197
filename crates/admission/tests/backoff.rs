//! Tests of the exponential backoff: growth, jitter, bound, reset.

use archlink_admission::backoff::Backoff;

#[test]
fn backoff_grows_with_jitter_is_bounded_and_resets() {
    let mut backoff = Backoff::default();
    for (failures, mean) in [0.3, 0.6, 1.2, 2.4, 3.0, 3.0].into_iter().enumerate() {
        let (mut shortest, mut longest) = (backoff, backoff);
        assert_eq!(shortest.failed(0.3, 3.0, 0.0), mean * 0.5, "failure {failures}");
        assert_eq!(longest.failed(0.3, 3.0, 1.0), mean * 1.5, "failure {failures}");
        backoff = shortest;
    }
    (0..100).for_each(|_| assert!(backoff.failed(0.3, 3.0, 0.5) <= 3.0));
    backoff.reset();
    assert_eq!(backoff.failed(0.3, 3.0, 0.5), 0.3);
}
