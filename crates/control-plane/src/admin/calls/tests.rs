//! Tests that the table of calls is consistent.

use super::*;

#[test]
fn each_call_is_found_at_its_path_and_nowhere_else() {
    for call in Call::iter() {
        let table_path = call.path();
        let path =
            if table_path.ends_with('/') { format!("{table_path}name") } else { table_path.to_string() };
        assert_eq!(Call::from_path(&path).map(|found| found.0), Some(call));
        assert_eq!(Call::from_path(&format!("/x{path}")), None);
        let changes_state =
            matches!(call.consistency(), Consistency::QuorumContact | Consistency::OperatorOverride);
        assert_eq!(changes_state, call.method() == "POST");
    }
    assert_eq!(Call::from_path("/archlink/Evacuation.Begin/"), None);
    assert_eq!(Call::from_path("/archlink/Configuration.ReadX"), None);
}
