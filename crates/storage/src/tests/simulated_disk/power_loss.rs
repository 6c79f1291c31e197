//! What a power loss leaves of pending writes.

use super::image::{DiskImage, Write};
use oorandom::Rand64;

/// Bytes that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// A write survives, is lost, or survives without its first sector, up to a sector, or up to a byte.
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

/// Checks every disk that a power loss may leave, where there are at most `max_cases`; otherwise so many of them in order,
/// and so many random ones.
pub fn for_each_power_loss(
    image: &DiskImage,
    max_cases: u64,
    rng: &mut Rand64,
    mut check: impl FnMut(DiskImage),
) {
    // The choices of a case with the number of alternatives of each: counted up like the digits of a number.
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
        check(image.after_power_loss(&mut |n| rng.rand_range(0..n.into()) as u32));
    }
}
