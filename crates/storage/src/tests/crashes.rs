//! What a crash leaves, at every point of a run.

use super::{after, change};
use crate::simulated_disk::{FOLDER, MadeUp, Platter, each_loss};
use crate::store::{Keeper, find};
use crate::{DurableState, StorageError};
use oorandom::Rand64;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// So that a few changes make a checkpoint.
const CHECKPOINT: usize = 700;
/// Losses tried at one point of the run.
const LOSSES: u64 = 300;

/// All states that were entered, and how many of them were said to be kept.
#[derive(Clone, Default)]
struct Story {
    entered: Vec<DurableState>,
    kept: usize,
}

impl Story {
    fn begin() -> Story {
        Story { entered: vec![DurableState::default()], kept: 0 }
    }

    /// The place of what is found: one moment's state, not from before the last that was said to be kept.
    fn place(&self, platter: &Platter) -> Result<usize, String> {
        let found = find(&MadeUp::new(platter.clone()), Path::new(FOLDER)).map_err(|e| format!("{e:#}"))?;
        let place = self.entered.iter().rposition(|state| *state == found.state);
        match place {
            Some(place) if place >= self.kept => Ok(place),
            Some(place) => Err(format!("{place} found, {} was kept", self.kept)),
            None => Err(format!("a state that never was, number {}", found.number)),
        }
    }
}

fn opened(disk: &MadeUp) -> Keeper<MadeUp> {
    loop {
        match Keeper::open(disk.clone(), Path::new(FOLDER), CHECKPOINT) {
            Err(e) if *e.current_context() == StorageError::Disk => {}
            control_node => return control_node.unwrap(),
        }
    }
}

fn keep(control_node: &mut Keeper<MadeUp>, story: &Mutex<Story>, n: u64) {
    let entered = change(control_node.state(), n);
    {
        let mut story = story.lock().unwrap();
        let next = after(story.entered.last().unwrap(), entered.clone());
        story.entered.push(next);
    }
    control_node.keep(entered, Duration::ZERO);
    let mut story = story.lock().unwrap();
    assert_eq!(control_node.state(), story.entered.last().unwrap());
    story.kept = story.entered.len() - 1;
    drop(story);
    control_node.tidy();
}

/// Paths whose sync does nothing.
type Idle = fn(&Path) -> bool;

/// One run; after each write, sync and name the process ends or the power is lost in every way. The first wrong state, and
/// how many were looked at.
fn every_crash(changes: u64, refused: std::ops::Range<u64>, idle: Idle) -> (Option<String>, u64) {
    let disk = MadeUp::new(Platter::empty());
    disk.idle(idle);
    disk.refuse(refused, 3);
    let story = Arc::new(Mutex::new(Story::begin()));
    let wrong = Arc::new(Mutex::new((None, 0)));
    let (told, seen) = (story.clone(), wrong.clone());
    let mut chance = Rand64::new(11);
    disk.watch(move |platter, effect| {
        let story = told.lock().unwrap().clone();
        let (wrong, looked) = &mut *seen.lock().unwrap();
        let mut look = |platter: &Platter, how| {
            if wrong.is_some() {
                return;
            }
            *looked += 1;
            if let Err(what) = story.place(platter) {
                wrong.get_or_insert(format!("{how} after act {effect}: {what}"));
            }
        };
        look(platter, "killed");
        each_loss(platter, LOSSES, &mut chance, |left| look(&left, "power lost"));
    });
    let mut control_node = opened(&disk);
    (1..=changes).for_each(|n| keep(&mut control_node, &story, n));
    wrong.lock().unwrap().clone()
}

/// What was said to be kept is there whenever the process ends or the power goes, and what is found is one moment's state.
#[test]
fn a_crash_at_every_point_leaves_what_was_kept() {
    let (wrong, looked) = every_crash(24, 0..0, |_| false);
    assert_eq!(wrong, None);
    assert!(looked > 1000, "{looked}");
}

/// The same on a disk that refuses for a while, wherever that begins. What it refused may have been done all the same, and
/// what it refused to sync may be there for the eye alone.
#[test]
fn a_crash_while_the_disk_refuses_leaves_what_was_kept() {
    for from in (0..90).step_by(4) {
        let (wrong, _) = every_crash(12, from..from + 17, |_| false);
        assert_eq!(wrong, None, "refused from {from}");
    }
}

/// Each sync is needed: without it a crash is found that loses what was kept, or mixes it.
#[test]
fn every_sync_left_out_is_found() {
    let planted: [(&str, Idle); 4] = [
        ("folder", |path| path == Path::new(FOLDER)),
        ("snapshot before its rename", |path| path.ends_with("snapshot.new")),
        ("folder of the log", |path| path.to_string_lossy().contains("log-") && !path.ends_with("wal-1")),
        ("entry", |path| path.ends_with("wal-1")),
    ];
    for (what, idle) in planted {
        let (wrong, _) = every_crash(24, 0..0, idle);
        assert!(wrong.is_some(), "{what}");
    }
}

/// The disk refused round 3, whose log holds round 2: memory stays at round 3 through the next snapshot and the next start.
/// Before, the log was replayed over the state in memory, and the snapshot was the state of round 2.
#[test]
fn memory_does_not_go_back_where_a_write_is_refused() {
    for refused in 1..9 {
        let disk = MadeUp::new(Platter::empty());
        let story = Mutex::new(Story::begin());
        let mut control_node = opened(&disk);
        (1..3).for_each(|n| keep(&mut control_node, &story, n));
        let at = disk.effects();
        disk.refuse(at..at + refused, refused.into());
        (3..30).for_each(|n| keep(&mut control_node, &story, n));
        let story = story.into_inner().unwrap();
        assert_eq!(story.place(&disk.platter()), Ok(29));
    }
}

/// Many lives on one disk: drawn changes, refusals and crashes, each start from what the crash before left. What was found
/// once does not come back otherwise: a change that was lost stays lost.
#[test]
fn many_lives_on_one_disk() {
    for seed in 0..40 {
        lives(seed);
    }
}

fn lives(seed: u128) {
    let mut chance = Rand64::new(seed);
    let mut platter = Platter::empty();
    let mut story = Story::begin();
    let mut n = 0;
    for _ in 0..8 {
        let disk = MadeUp::new(platter.clone());
        let shared = Arc::new(Mutex::new(story.clone()));
        let last = Arc::new(Mutex::new(None));
        let (told, left, crash) = (shared.clone(), last.clone(), chance.rand_range(1..120));
        disk.watch(move |platter, effect| {
            if effect == crash {
                *left.lock().unwrap() = Some((platter.clone(), told.lock().unwrap().clone()));
            }
        });
        let from = chance.rand_range(0..160);
        disk.refuse(from..from + chance.rand_range(0..20), chance.rand_u64().into());
        let mut control_node = opened(&disk);
        {
            // What a start gives back is told to others: from here on it is kept.
            let mut story = shared.lock().unwrap();
            let place = story.entered.iter().rposition(|state| state == control_node.state());
            story.kept = place.unwrap_or_else(|| panic!("seed {seed}: a state that never was"));
            let here = story.kept;
            story.entered.truncate(here + 1);
        }
        while last.lock().unwrap().is_none() {
            n += 1;
            keep(&mut control_node, &shared, n);
        }
        let (at_crash, told) = last.lock().unwrap().take().unwrap();
        platter = match chance.rand_range(0..3) {
            0 => at_crash,
            _ => at_crash.lose(&mut |n| chance.rand_range(0..n.into()) as u32),
        };
        story = told;
        let place = story.place(&platter).unwrap_or_else(|what| panic!("seed {seed}: {what}"));
        story.entered.truncate(place + 1);
    }
}

/// A start on a disk that takes nothing more, but still syncs, gives back what is there, also where the process ended before
/// it was synced: a loss of power right after the start leaves that. It goes on once there is room.
#[test]
fn a_full_disk_is_no_reason_not_to_start() {
    let disk = MadeUp::new(Platter::empty());
    let ends = Arc::new(Mutex::new(Vec::new()));
    let left = ends.clone();
    disk.watch(move |platter, _| left.lock().unwrap().push(platter.clone()));
    let story = Mutex::new(Story::begin());
    let mut control_node = opened(&disk);
    (1..12).for_each(|n| keep(&mut control_node, &story, n));
    let mut chance = Rand64::new(5);
    for platter in ends.lock().unwrap().drain(..) {
        let disk = MadeUp::new(platter);
        // The cut of the file that is written aside.
        disk.refuse(0..1, 1);
        let mut control_node = opened(&disk);
        let story = Mutex::new(Story { entered: vec![control_node.state().clone()], kept: 0 });
        each_loss(&disk.platter(), LOSSES / 5, &mut chance, |lost| {
            assert_eq!(story.lock().unwrap().place(&lost), Ok(0));
        });
        (12..15).for_each(|n| keep(&mut control_node, &story, n));
        assert_eq!(story.into_inner().unwrap().place(&disk.platter()), Ok(3));
    }
}
