//! Parsing of the command line, including the spellings of earlier versions.

use super::{batch, command, scenario_file, size, workload};
use archlink_simulation::{Size, Workload};
use clap::ArgMatches;

fn arguments(line: &str) -> ArgMatches {
    let matches = command().try_get_matches_from(line.split(' ')).expect(line);
    matches.subcommand().expect("a subcommand").1.clone()
}

#[test]
fn command_line_definition_is_consistent() {
    command().debug_assert();
}

#[test]
fn earlier_spellings_are_accepted() {
    for line in [
        "archlink-simulation run --kind losses --seeds 1..100000 --size grown --jobs 8 --for 600",
        "archlink-simulation run --workload losses --seeds 1..100000 --size large --jobs 8 --for 600",
    ] {
        let batch = batch(&arguments(line)).expect(line);
        assert_eq!((batch.seeds, batch.workload, batch.size), (1..100_000, Workload::Losses, Size::Large));
        assert_eq!((batch.jobs, batch.duration.as_secs()), (8, 600));
    }
    for line in ["archlink-simulation replay --plan FILE", "archlink-simulation replay --scenario FILE"] {
        assert_eq!(scenario_file(&arguments(line)), Some("FILE"));
    }
    let seed = arguments("archlink-simulation replay --seed 7");
    assert_eq!((size(&seed), workload(&seed)), (Size::Small, Workload::Any));
}

#[test]
fn seeds_other_than_a_range_are_rejected() {
    let error = batch(&arguments("archlink-simulation run --seeds 7")).err().expect("an error");
    assert!(format!("{error:?}").contains("--seeds 7: expected A..B"), "{error:?}");
}
