//! A seed always generates and runs the same schedule: seeds and files that an earlier build reported must replay the same run.
//! The expected values are those of the build at 20b0510, taken before the package was split and renamed.

use archlink_simulation::shrink::run_catching_panics;
use archlink_simulation::{Scenario, Size, Workload};

/// The FNV-1a hash, which depends on nothing but the bytes.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

#[test]
fn seed_generates_and_runs_the_same_schedule_as_earlier_builds() {
    for (workload, size, seed, digest, steps, seconds) in [
        (Workload::Any, Size::Small, 0, 0xc61806f4efdb1aa0, 4515, 0x403ef9999999999a),
        (Workload::Any, Size::Small, 1, 0xfd3a90baa2fc0459, 5159, 0x40401810624dd2f2),
        (Workload::Any, Size::Small, 202735, 0x1941048bd9f69804, 13237, 0x4051e5c28f5c28f6),
        (Workload::Any, Size::Large, 2, 0xb5359dd223e664cf, 33501, 0x40561d1eb851eb86),
        (Workload::Any, Size::Large, 77, 0x8c36e2d521ddd742, 17553, 0x4047883126e978d4),
        (Workload::Losses, Size::Small, 0, 0x9aa48f1c8c68be8b, 8855, 0x4047cf9db22d0e57),
        (Workload::Losses, Size::Small, 5, 0xc0bd76784f213996, 28158, 0x40607ba5e353f7cb),
        (Workload::Losses, Size::Large, 3, 0xe935a38c6033b066, 14351, 0x4045224dd2f1a9fc),
    ] {
        let scenario = Scenario::generate(workload, seed, size);
        let report = run_catching_panics(&scenario, false);
        let found = (fnv1a(&scenario.text()), report.steps, report.seconds.to_bits(), report.violation);
        assert_eq!(
            found,
            (digest, steps, seconds, None),
            "{workload:?} {size:?} {seed}: {}",
            scenario.text()
        );
        assert_eq!(Scenario::read(&scenario.text()).map(|read| read.steps).ok(), Some(scenario.steps));
    }
}

/// With a `CatchUp` of 1000 s some scenarios violate an invariant, at the same time and after the same number of steps as in
/// earlier builds.
#[test]
fn violation_is_found_at_the_same_time_as_in_earlier_builds() {
    for (seed, steps, seconds, violated_at) in [
        (0, 7963, 0x4047cf9db22d0e57, None),
        (1, 5972, 0x40439a9fbe76c8b6, None),
        (2, 20956, 0x4060876c8b439582, Some("at 124.232")),
        (3, 7718, 0x404d6eb851eb84f5, Some("at 50.865")),
        (4, 11157, 0x4053e2d0e5604186, Some("at 71.544")),
        (5, 17787, 0x40609ba5e353f7cb, Some("at 124.864")),
        (6, 14402, 0x40534e04189374b6, None),
        (7, 18075, 0x40605e1cac083128, Some("at 122.941")),
        (8, 15976, 0x40548ac083126e96, Some("at 74.168")),
        (9, 14898, 0x4052eb95810624dd, None),
        (10, 27515, 0x40632ed916872b08, Some("at 145.464")),
        (11, 14106, 0x405776b851eb851c, Some("at 85.855")),
    ] {
        let scenario =
            Scenario { catch_up: 1000.0, ..Scenario::generate(Workload::Losses, seed, Size::Small) };
        let report = run_catching_panics(&scenario, false);
        let time = report.violation.as_deref().and_then(|text| text.split_once(": ")).map(|(at, _)| at);
        assert_eq!(
            (report.steps, report.seconds.to_bits(), time),
            (steps, seconds, violated_at),
            "seed {seed}"
        );
    }
}
