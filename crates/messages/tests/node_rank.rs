//! Node ranks and the portions derived from them.

use archlink_messages::{NodeId, NodeRank};

/// The portions of every subject add up to its units, and over many subjects no node is favoured. A node that is not in
/// the set gets nothing.
#[test]
fn portions_add_up_and_no_node_is_favoured() {
    let nodes: Vec<NodeId> = (0..92).map(|n| 0x0a01_0020 + n * 7).collect();
    let mut totals = vec![0; nodes.len()];
    for subject in 0..400 {
        let subject = format!("t{subject}");
        let portions: Vec<usize> =
            nodes.iter().map(|&node| NodeRank::of(node, &subject, &nodes).portion(45)).collect();
        assert_eq!(portions.iter().sum::<usize>(), 45);
        totals.iter_mut().zip(portions).for_each(|(total, portion)| *total += portion);
    }
    assert!(totals.iter().all(|total| (120..280).contains(total)), "{totals:?}");
    assert_eq!(NodeRank::of(1, "t", &nodes).portion(45), 0);
}
