//! The adapter as the bench sees it: bytes in, bytes out, and a plain line for what is malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const FACTS: &str = "classes.count=1\nclasses.0.deadline-us=2500000\nclasses.0.on-time-us=750000\n\
    classes.0.effect=pure\ncontracts.count=1\npeers-total=1\nlimits.max-attempts=4\n\
    obligations.drain-grace-us=0\nobligations.cold-from=0.2\nobligations.warm-up-us=17000000\n\
    obligations.tip-multiple=2.5\nobligations.overload-for-us=3000000\nno.such-key=1\n";

fn run(input: &[u8]) -> Output {
    let program = env!("CARGO_BIN_EXE_archlink-bench-adapter");
    let piped = || Stdio::piped();
    let mut child = Command::new(program).stdin(piped()).stdout(piped()).stderr(piped()).spawn().unwrap();
    child.stdin.take().unwrap().write_all(input).ok();
    child.wait_with_output().unwrap()
}

fn record(fields: &[&[u8]]) -> Vec<u8> {
    let mut bytes = fields.concat();
    bytes.resize(48, 0);
    bytes
}

fn frame(clock: u64, serial: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body = [records.concat(), tail.to_vec()].concat();
    let head = [body.len() as u32, records.len() as u32, serial].map(u32::to_le_bytes).concat();
    [clock.to_le_bytes().to_vec(), head, body].concat()
}

fn start(facts: &str) -> Vec<u8> {
    let host = [10, 1, 2, 3, 0x43, 0x1f, 0, 0, 0, 0, 1, 0, 0, 0x80, 0x3f, 0, 0, 0, 0, 0, 0, 0, 0];
    let at = (facts.len() as u32).to_le_bytes();
    let up = record(&[&[0], &3u16.to_le_bytes(), &9u64.to_le_bytes(), &[0; 4], &at]);
    let rows = record(&[&[11, 0], &at, &1u32.to_le_bytes()]);
    let announce = record(&[&[1], &3u16.to_le_bytes(), &1u64.to_le_bytes(), &[2, 0]]);
    frame(1_000_000, 1, &[up, rows, announce], &[facts.as_bytes(), &host].concat())
}

fn ingress(ticket: u32, lane: u16) -> Vec<u8> {
    let (ids, lane) = (ticket.to_le_bytes(), lane.to_le_bytes());
    let numbers = [1f32, 1.0, 0.0].map(f32::to_le_bytes).concat();
    record(&[&[2], &3u16.to_le_bytes(), &ids, &lane, &[0; 2], &[0; 8], &2_000_000u32.to_le_bytes(), &numbers])
}

fn complaint(input: &[u8]) -> String {
    let output = run(input);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn an_inquiry_is_handed_off_and_a_stopped_instance_acts_no_more() {
    let halt = record(&[&[9], &3u16.to_le_bytes()]);
    let batches = [
        start(FACTS),
        frame(1_004_000, 2, &[ingress(77, 0)], &[]),
        frame(1_008_000, 3, &[halt, ingress(78, 0)], &[]),
        frame(1_012_000, 4, &[], &[]),
    ];
    let output = run(&batches.concat());
    assert!(output.status.success());
    let replies = output.stdout;
    // First reply: one wake. Second: a hand-off to the one host.
    let second = &replies[12 + 24..];
    assert_eq!(second[..12], [1u32, 24, 2].map(u32::to_le_bytes).concat());
    let hand_off = [&[0u8, 3, 0][..], &77u32.to_le_bytes(), &[10, 1, 2, 3, 0x43, 0x1f], &[0; 8]].concat();
    assert_eq!(second[12..12 + 21], hand_off);
    let rest = &second[12 + 24..];
    assert_eq!(
        rest,
        [[0u32, 0, 3], [0, 0, 4]].concat().iter().flat_map(|n| n.to_le_bytes()).collect::<Vec<_>>()
    );
}

#[test]
fn the_end_of_input_between_frames_is_no_fault() {
    let output = run(&[]);
    assert!(output.status.success() && output.stdout.is_empty());
    let empty = run(&frame(0x805c5a, 1, &[], &[]));
    assert_eq!(empty.stdout, [0u32, 0, 1].map(u32::to_le_bytes).concat());
}

#[test]
fn malformed_input_is_named_with_its_batch() {
    let good = start(FACTS);
    for cut in [3, 19, 25, good.len() - 1] {
        let text = complaint(&good[..cut]);
        assert!(cut < 20 || text.contains("batch 1"), "{text}");
    }
    let unknown = frame(1, 5, &[record(&[&[99]])], &[]);
    assert!(complaint(&unknown).contains("batch 5: event code: 99"));
    let outside = frame(1, 6, &[record(&[&[11, 0], &u32::MAX.to_le_bytes(), &u32::MAX.to_le_bytes()])], &[]);
    assert!(complaint(&outside).contains("batch 6: nodes-list"));
    let mut long = frame(1, 7, &[], &[]);
    long[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(complaint(&long).contains("batch 7"));
    let lane = [good, frame(2, 8, &[ingress(1, 4)], &[])].concat();
    assert!(complaint(&lane).contains("batch 8: grade"));
}

#[test]
fn settings_that_are_missing_or_no_numbers_are_named() {
    for (from, to, named) in [
        ("peers-total=1\n", "", "peers-total"),
        ("drain-grace-us=0", "drain-grace-us=soon", "obligations.drain-grace-us"),
        ("cold-from=0.2", "cold-from=-1", "obligations.cold-from"),
        ("warm-up-us=17000000", "warm-up-us=inf", "obligations.warm-up-us"),
        ("effect=pure", "effect=maybe", "classes.0.effect"),
    ] {
        let text = complaint(&start(&FACTS.replace(from, to)));
        assert!(text.contains("batch 1") && text.contains(named), "{text}");
    }
}

#[test]
fn events_about_what_is_not_held_are_ignored() {
    let who = 3u16.to_le_bytes();
    let ended = record(&[&[4], &who, &5u32.to_le_bytes(), &[0], &[0; 2], &[0; 4], &1u16.to_le_bytes()]);
    let counted = record(&[&[10], &who, &[0; 4], &1u16.to_le_bytes()]);
    let hangup = record(&[&[5], &who, &5u32.to_le_bytes()]);
    let probed = record(&[&[7], &who, &[0; 6], &1u16.to_le_bytes()]);
    let stranger = record(&[&[5], &9u16.to_le_bytes()]);
    let batch = frame(2_000_000, 2, &[ended, counted, hangup, probed, stranger], &[]);
    assert!(run(&[start(FACTS), batch].concat()).status.success());
}
