//! The bound on retries over all data nodes.

use archlink_balancer::retry_budget::{RetryBound, RetryBudget};

/// Nine data nodes that earn and spend all they can keep the bound in any window of requests.
#[test]
fn retries_of_all_data_nodes_stay_within_the_bound() {
    let bound = RetryBound { ratio: 0.2, slack: 58.0 };
    let mut budgets: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::default()).collect();
    let mut retries = 0;
    for request in 0..20_000 {
        let budget = &mut budgets[request % 9];
        budget.deposit(&bound, "s", 9);
        // Nobody retries for a long while, and then all do at once.
        while request > 10_000 && budget.try_withdraw("s") {
            retries += 1;
        }
    }
    assert!(f64::from(retries) <= 9999.0 * bound.ratio + bound.slack && retries > 1400, "{retries}");
}
