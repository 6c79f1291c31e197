//! The bound on retries over all data nodes.

use archlink_balancer::retry_budget::{RetryBound, RetryBudget};

/// Nine data nodes that deposit for every request and withdraw all they can stay within the bound, also when all retry
/// at once after a long time without retries.
#[test]
fn retries_of_all_data_nodes_stay_within_the_bound() {
    let bound = RetryBound { ratio: 0.2, slack: 58.0 };
    let mut budgets: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::default()).collect();
    let mut retries = 0;
    for request in 0..20_000 {
        let budget = &mut budgets[request % 9];
        budget.deposit(&bound, "s", 9);
        // Retries start after 10 000 requests, with all balances at their maximum.
        while request > 10_000 && budget.try_withdraw("s") {
            retries += 1;
        }
    }
    assert!(f64::from(retries) <= 9999.0 * bound.ratio + bound.slack && retries > 1400, "{retries} retries");
}
