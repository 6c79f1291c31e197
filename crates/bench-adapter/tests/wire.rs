//! Tests of the adapter process on the simulator's wire protocol, including the error line for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Valid settings, with one unknown key, which is ignored.
const SETTINGS: &str = "classes.count=1\nclasses.0.deadline-us=2500000\nclasses.0.on-time-us=750000\n\
    classes.0.effect=pure\ncontracts.count=1\npeers-total=1\nlimits.max-attempts=4\n\
    obligations.drain-grace-us=0\nobligations.cold-from=0.2\nobligations.warm-up-us=17000000\n\
    obligations.tip-multiple=2.5\nobligations.overload-for-us=3000000\nno.such-key=1\n";

/// Runs the adapter on the given input.
fn run(input: &[u8]) -> Output {
    let program = env!("CARGO_BIN_EXE_archlink-bench-adapter");
    let piped = || Stdio::piped();
    let mut child = Command::new(program).stdin(piped()).stdout(piped()).stderr(piped()).spawn().unwrap();
    child.stdin.take().unwrap().write_all(input).ok();
    child.wait_with_output().unwrap()
}

/// A record with the given fields, padded with zeros.
fn record(fields: &[&[u8]]) -> Vec<u8> {
    let mut bytes = fields.concat();
    bytes.resize(48, 0);
    bytes
}

/// A frame: the header, the records and their payload.
fn frame(clock: u64, batch: u32, records: &[Vec<u8>], payload: &[u8]) -> Vec<u8> {
    let body = [records.concat(), payload.to_vec()].concat();
    let header = [body.len() as u32, records.len() as u32, batch].map(u32::to_le_bytes).concat();
    [clock.to_le_bytes().to_vec(), header, body].concat()
}

/// Batch 1: starts instance 3 with the given settings and a cached list of one host.
fn start_batch(settings: &str) -> Vec<u8> {
    let host = [10, 1, 2, 3, 0x43, 0x1f, 0, 0, 0, 0, 1, 0, 0, 0x80, 0x3f, 0, 0, 0, 0, 0, 0, 0, 0];
    let settings_length = (settings.len() as u32).to_le_bytes();
    let start = record(&[&[0], &3u16.to_le_bytes(), &9u64.to_le_bytes(), &[0; 4], &settings_length]);
    let host_list = record(&[&[11, 0], &settings_length, &1u32.to_le_bytes()]);
    let host_list_update = record(&[&[1], &3u16.to_le_bytes(), &1u64.to_le_bytes(), &[2, 0]]);
    frame(1_000_000, 1, &[start, host_list, host_list_update], &[settings.as_bytes(), &host].concat())
}

/// A request that arrives at instance 3.
fn request_event(id: u32, class: u16) -> Vec<u8> {
    let (id, class) = (id.to_le_bytes(), class.to_le_bytes());
    let numbers = [1f32, 1.0, 0.0].map(f32::to_le_bytes).concat();
    record(&[&[2], &3u16.to_le_bytes(), &id, &class, &[0; 2], &[0; 8], &2_000_000u32.to_le_bytes(), &numbers])
}

/// Runs the adapter on malformed input, which must end it with status 2, and returns the one line on standard error.
fn error_line(input: &[u8]) -> String {
    let output = run(input);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn request_is_sent_to_the_host_and_ignored_after_its_instance_stopped() {
    let stop = record(&[&[9], &3u16.to_le_bytes()]);
    let batches = [
        start_batch(SETTINGS),
        frame(1_004_000, 2, &[request_event(77, 0)], &[]),
        frame(1_008_000, 3, &[stop, request_event(78, 0)], &[]),
        frame(1_012_000, 4, &[], &[]),
    ];
    let output = run(&batches.concat());
    assert!(output.status.success());
    let replies = output.stdout;
    // The first reply sets a timer; the second starts an attempt at the only host.
    let second = &replies[12 + 24..];
    assert_eq!(second[..12], [1u32, 24, 2].map(u32::to_le_bytes).concat());
    let start_attempt =
        [&[0u8, 3, 0][..], &77u32.to_le_bytes(), &[10, 1, 2, 3, 0x43, 0x1f], &[0; 8]].concat();
    assert_eq!(second[12..12 + 21], start_attempt);
    let rest = &second[12 + 24..];
    assert_eq!(
        rest,
        [[0u32, 0, 3], [0, 0, 4]].concat().iter().flat_map(|n| n.to_le_bytes()).collect::<Vec<_>>()
    );
}

#[test]
fn end_of_input_between_frames_ends_the_process_successfully() {
    let output = run(&[]);
    assert!(output.status.success() && output.stdout.is_empty());
    let empty = run(&frame(0x805c5a, 1, &[], &[]));
    assert_eq!(empty.stdout, [0u32, 0, 1].map(u32::to_le_bytes).concat());
}

#[test]
fn malformed_input_is_reported_with_its_batch_number() {
    let valid = start_batch(SETTINGS);
    for length in [3, 19, 25, valid.len() - 1] {
        let text = error_line(&valid[..length]);
        assert!(length < 20 || text.contains("batch 1"), "{text}");
    }
    let unknown_code = frame(1, 5, &[record(&[&[99]])], &[]);
    assert!(error_line(&unknown_code).contains("batch 5: event code: 99"));
    let outside_frame =
        frame(1, 6, &[record(&[&[11, 0], &u32::MAX.to_le_bytes(), &u32::MAX.to_le_bytes()])], &[]);
    assert!(error_line(&outside_frame).contains("batch 6: nodes-list"));
    let mut too_long = frame(1, 7, &[], &[]);
    too_long[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(error_line(&too_long).contains("batch 7"));
    let unknown_class = [valid, frame(2, 8, &[request_event(1, 4)], &[])].concat();
    assert!(error_line(&unknown_class).contains("batch 8: grade"));
}

#[test]
fn missing_or_invalid_settings_are_reported_with_their_key() {
    for (from, to, key) in [
        ("peers-total=1\n", "", "peers-total"),
        ("drain-grace-us=0", "drain-grace-us=soon", "obligations.drain-grace-us"),
        ("cold-from=0.2", "cold-from=-1", "obligations.cold-from"),
        ("warm-up-us=17000000", "warm-up-us=inf", "obligations.warm-up-us"),
        ("effect=pure", "effect=maybe", "classes.0.effect"),
    ] {
        let text = error_line(&start_batch(&SETTINGS.replace(from, to)));
        assert!(text.contains("batch 1") && text.contains(key), "{text}");
    }
}

#[test]
fn events_for_unknown_requests_hosts_and_instances_are_ignored() {
    let instance = 3u16.to_le_bytes();
    let attempt_ended =
        record(&[&[4], &instance, &5u32.to_le_bytes(), &[0], &[0; 2], &[0; 4], &1u16.to_le_bytes()]);
    let counter_reply = record(&[&[10], &instance, &[0; 4], &1u16.to_le_bytes()]);
    let client_disconnected = record(&[&[5], &instance, &5u32.to_le_bytes()]);
    let probe_finished = record(&[&[7], &instance, &[0; 6], &1u16.to_le_bytes()]);
    let unknown_instance = record(&[&[5], &9u16.to_le_bytes()]);
    let batch = frame(
        2_000_000,
        2,
        &[attempt_ended, counter_reply, client_disconnected, probe_finished, unknown_instance],
        &[],
    );
    assert!(run(&[start_batch(SETTINGS), batch].concat()).status.success());
}
