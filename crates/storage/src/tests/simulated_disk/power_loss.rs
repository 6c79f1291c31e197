//! The part of pending writes that survives a power loss.

use super::image::{DiskImage, Write};
use oorandom::Rand64;

/// The number of bytes that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// Returns what survives of a write: all of it, nothing, all but its first sector, only its first sector, or its first half.
pub fn partial_write(write: Write, choose: &mut dyn FnMut(u32) -> u32) -> Option<Write> {
    let Write::Data { offset, mut bytes } = write else { return (choose(2) == 0).then_some(write) };
    let sector_end = (SECTOR_BYTES - offset % SECTOR_BYTES).min(bytes.len());
    match choose(5) {
        0 => Some(Write::Data { offset, bytes }),
        1 => None,
        2 => Some(Write::Data { offset: offset + sector_end, bytes: bytes.split_off(sector_end) }),
        3 => {
            bytes.truncate(sector_end);
            Some(Write::Data { offset, bytes })
        }
        _ => {
            bytes.truncate(bytes.len() / 2);
            Some(Write::Data { offset, bytes })
        }
    }
}

/// Checks every disk that a power loss may leave, if there are at most `max_cases`. Otherwise checks the first
/// `max_cases` in order of enumeration and as many random ones.
pub fn for_each_power_loss(
    image: &DiskImage,
    max_cases: u64,
    rng: &mut Rand64,
    mut check: impl FnMut(DiskImage),
) {
    // The choices of the current case and the number of alternatives of each. They are enumerated like the digits of a
    // counter.
    let mut choices: Vec<(u32, u32)> = Vec::new();
    for _ in 0..max_cases {
        let mut position = 0;
        check(image.after_power_loss(&mut |alternatives| {
            if position == choices.len() {
                choices.push((0, alternatives));
            }
            position += 1;
            choices[position - 1].0
        }));
        while choices.last().is_some_and(|(choice, alternatives)| choice + 1 == *alternatives) {
            choices.pop();
        }
        let Some((choice, _)) = choices.last_mut() else { return };
        *choice += 1;
    }
    for _ in 0..max_cases {
        check(image.after_power_loss(&mut |alternatives| rng.rand_range(0..alternatives.into()) as u32));
    }
}
