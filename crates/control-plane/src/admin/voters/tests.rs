//! Tests how operators name nodes.

use super::parse_node;

#[test]
fn node_is_named_by_its_address_with_or_without_port() {
    let node = Some(0x0a00_0001);
    assert_eq!((parse_node("10.0.0.1"), parse_node("10.0.0.1:8200")), (node, node));
    assert_eq!((parse_node("control-1"), parse_node("10.0.0.1:"), parse_node("")), (None, None, None));
}
