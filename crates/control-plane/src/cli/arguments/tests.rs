//! Tests the definition of the command line, and the former command names that it still accepts.

use super::command_line;

#[test]
fn command_line_definition_is_consistent() {
    command_line().debug_assert();
}

/// Each former name is parsed as the current command, and the help lists only the current name.
#[test]
fn former_command_names_are_hidden_aliases() {
    for (former, current) in [("replace", "apply"), ("duties", "leases"), ("journal", "events")] {
        let file = (former == "replace").then_some("file.json");
        let words = ["archlink-control-plane", former].into_iter().chain(file);
        let matches = command_line().try_get_matches_from(words).unwrap();
        assert_eq!(matches.subcommand_name(), Some(current));
        let help = command_line().render_long_help().to_string();
        let lists = |word: &str| help.lines().any(|line| line.trim_start().starts_with(&format!("{word} ")));
        assert!(lists(current) && !lists(former), "{help}");
    }
    let words = ["archlink-control-plane", "voters", "found-anew", "--epoch", "7"];
    let matches = command_line().try_get_matches_from(words).unwrap();
    let (_, voters) = matches.subcommand().unwrap();
    let (name, arguments) = voters.subcommand().unwrap();
    let epoch = arguments.get_one::<String>("epoch").map(String::as_str);
    assert_eq!((name, epoch), ("force-new", Some("7")));
}
