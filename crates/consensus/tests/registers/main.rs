//! An exhaustively checked abstract model of the rule by which the voter set may change: acceptors with an
//! epoch and, for each of two registers, a promised and an accepted proposal; one of the registers is the
//! voter set itself.
//!
//! There is any number of proposers, whose messages arrive late, twice or never and who may stop at any step,
//! and one lost disk. There are no times and no texts: a value is the sequence of the attempts that wrote it.
//! `model.rs` and the simulation check the code itself for the same properties.

mod model;
mod state;
mod types;

use model::CheckedModel;
use stateright::{Checker, Model};
use types::PlantedFault;

const CHECKER_THREADS: usize = 4;

/// The part of the model that is checked: attempts on each register, changes of the voter set, and whether a
/// disk may be lost.
type Instance = ([usize; 2], usize, bool);

fn checked_model(
    planted_fault: PlantedFault,
    (attempts, changes, loses_disk): Instance,
    rolls_back: bool,
) -> CheckedModel {
    CheckedModel { planted_fault, attempts, changes, loses_disk, rolls_back }
}

/// Checks all states of an instance, and returns how many there are.
fn check_all_states(instance: Instance) -> usize {
    let (_, changes, _) = instance;
    let model = checked_model(PlantedFault::None, instance, true);
    let checked = model.checker().threads(CHECKER_THREADS).spawn_dfs().join();
    checked.assert_no_discovery(model::CHOSEN_VALUES_FORM_ONE_SEQUENCE);
    if changes > 0 {
        checked.assert_any_discovery(model::CHANGE_IS_COMPLETE);
    }
    checked.unique_state_count()
}

#[test]
fn neither_a_voter_set_change_nor_a_lost_disk_splits_the_chosen_values() {
    for instance in [([2, 0], 1, false), ([0, 3], 1, false), ([3, 0], 0, true)] {
        assert!(check_all_states(instance) > 50_000);
    }
}

/// The same with larger instances. Takes some minutes and some GB of memory.
#[test]
#[ignore = "minutes: cargo test --release -p archlink-consensus --test registers -- --ignored --nocapture"]
fn neither_splits_the_chosen_values_in_larger_instances() {
    for instance in [
        ([2, 0], 2, false),
        ([0, 3], 1, true),
        ([2, 0], 1, true),
        ([0, 4], 1, false),
        ([4, 0], 0, true),
        ([3, 0], 1, false),
        ([2, 0], 2, true),
    ] {
        println!("{instance:?}: {} states", check_all_states(instance));
    }
}

/// Returns the number of steps to a violation with this fault.
fn steps_to_violation(planted_fault: PlantedFault, instance: Instance) -> usize {
    let model = checked_model(planted_fault, instance, false);
    let checked = model.checker().threads(CHECKER_THREADS).spawn_bfs().join();
    checked.assert_any_discovery(model::CHOSEN_VALUES_FORM_ONE_SEQUENCE).into_actions().len()
}

#[test]
fn each_planted_fault_is_found() {
    for (planted_fault, instance) in [
        (PlantedFault::JointEpochEndsEarly, ([2, 0], 1, false)),
        (PlantedFault::LostDiskVotes, ([2, 0], 0, true)),
        (PlantedFault::TransferredValueCounts, ([2, 0], 0, true)),
    ] {
        assert!(steps_to_violation(planted_fault, instance) > 0);
    }
}

#[test]
#[ignore = "half a minute: cargo test --release -p archlink-consensus --test registers -- --ignored --nocapture"]
fn each_planted_fault_that_takes_more_attempts_is_found() {
    for planted_fault in [PlantedFault::JoiningNodeCounts, PlantedFault::EpochsIgnored] {
        assert!(steps_to_violation(planted_fault, ([3, 0], 1, false)) > 0);
    }
}
