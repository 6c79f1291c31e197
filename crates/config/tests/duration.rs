//! Durations as operators write them.

use archlink_config::parse_seconds;

#[test]
fn seconds_and_milliseconds_are_parsed_and_anything_else_is_rejected() {
    assert_eq!(parse_seconds("1500ms"), Some(1.5));
    assert_eq!(parse_seconds("2.5s"), Some(2.5));
    for invalid in ["", "s", "5", "-1s", "1e3s", "infs", "1 s", "1m"] {
        assert_eq!(parse_seconds(invalid), None, "{invalid:?} was parsed");
    }
}
