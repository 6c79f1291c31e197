//! Parsing of header values.

use crate::protocol::parse_server_load;

#[test]
fn server_load_is_three_finite_numbers() {
    assert_eq!(parse_server_load("3, 0,8"), Some((3.0, 0.0, 8.0)));
    for bad in ["", "3", "3,0", "a,b,c", "inf,0,1"] {
        assert_eq!(parse_server_load(bad), None, "{bad}");
    }
}
